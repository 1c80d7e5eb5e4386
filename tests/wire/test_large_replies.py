"""Replies that carry a large configuration to the routers of a data centre."""

from __future__ import annotations

import random
import string
from datetime import timedelta

import pytest

from banyansail.fleet.peer_calls import encode_reply_to
from banyansail.platform.store_objects import Revision, StoredObject
from banyansail.wire.call_codec import (
    Document,
    FetchDocument,
    FollowStore,
    KindChanges,
    StoreChanges,
    decode_reply,
    encode_call,
)

ROUTES = 1404
FOLLOWERS = 15  # of a data centre of 18 routers with three watchers
FOLLOWED, WATCHERS = 2, 3
LINK_BITS_PER_S = 10e6
IN_FORCE_S = 3.0  # by the deployment's bound
SHARE = 0.25  # of this time; the rest is the way to the store, parsing and requests
FOLLOW = FollowStore({"config": Revision(1, 3)}, timedelta(milliseconds=500))


def name(source):
    return "".join(source.choices(string.ascii_lowercase + string.digits, k=7))


def configuration():
    """Return a configuration whose names are drawn, as the platform's are."""
    source = random.Random(1)
    routes = [
        {
            "name": f"r-{name(source)}",
            "host": f"{name(source)}.example",
            "pathPrefix": f"/{name(source)}/",
            "routeType": "streaming",
            "service": name(source),
            "timeoutMs": 12000,
            "sloMs": 500,
            "priority": 1,
            "maxAttempts": 2,
            "streamResume": True,
            "sessionAffinity": True,
            "gapTargetMs": 500,
        }
        for _ in range(ROUTES)
    ]
    return {"version": 27, "routes": routes}


def changes():
    stored = StoredObject("main", Revision(1, 9), configuration())
    kind = KindChanges(
        "config", Revision(1, 9), False, (stored,), (), (), timedelta(milliseconds=20)
    )
    return StoreChanges((kind,), timedelta(milliseconds=499))


def test_a_large_configuration_passes_the_link_of_a_watcher_in_time():
    """Guards against a change that each follower waits seconds for."""
    reply = encode_reply_to(encode_call(1, FOLLOW), 1, changes())
    copies = FOLLOWERS * FOLLOWED / WATCHERS
    seconds = len(reply) * 8 * copies / LINK_BITS_PER_S
    print(f"{len(reply)} bytes for each of {copies:.0f} followers, {seconds:.2f} s")
    assert seconds <= IN_FORCE_S * SHARE


@pytest.mark.parametrize(
    ("call", "reply"),
    [(FOLLOW, changes()), (FetchDocument("config", 1), Document(3, "x" * 300_000))],
)
def test_a_large_reply_arrives_as_it_was(call, reply):
    data = encode_reply_to(encode_call(7, call), 7, reply)
    assert len(data) < 100_000
    assert decode_reply(data) == (7, reply)
