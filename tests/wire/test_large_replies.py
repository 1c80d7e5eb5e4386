"""Replies that carry a large configuration to the routers of a data centre."""

from __future__ import annotations

import random
import string
import zlib
from datetime import timedelta

import pytest

from banyansail.exceptions import WireError
from banyansail.fleet.peer_calls import encode_reply_to
from banyansail.platform.store_objects import Revision, StoredObject
from banyansail.wire.call_codec import decode_reply, encode_call, encode_reply
from banyansail.wire.call_types import (
    Document,
    FetchDocument,
    FollowStore,
    KindChanges,
    StoreChanges,
)
from banyansail.wire.schema import schema

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


def test_a_caller_of_an_older_build_gets_a_plain_reply():
    """Guards against replies that the build in production can't read."""
    reply = changes()
    old_call = schema.Call.from_bytes_packed(encode_call(1, FOLLOW)).as_builder()
    old_call.acceptsDeflated = False
    data = encode_reply_to(old_call.to_bytes_packed(), 1, reply)
    assert schema.Reply.from_bytes_packed(data).which() == "storeChanges"


@pytest.mark.parametrize("spoil", [lambda data: data[:50], lambda data: b"x" * 50])
def test_a_deflated_reply_that_is_spoiled_is_no_reply(spoil):
    packed = zlib.compress(encode_reply(1, changes()))
    message = schema.Reply.new_message(id=1, deflated=spoil(packed))
    with pytest.raises(WireError):
        decode_reply(message.to_bytes_packed())


def test_a_reply_that_is_deflated_twice_is_no_reply():
    """Guards against a reply that inflates without end."""
    data = encode_reply(1, changes(), may_deflate=True)
    message = schema.Reply.new_message(id=1, deflated=zlib.compress(data))
    with pytest.raises(WireError, match="twice"):
        decode_reply(message.to_bytes_packed())
