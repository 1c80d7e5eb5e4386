"""Objects of other builds in the store: no one of them hides the others."""

from __future__ import annotations

import json

from banyansail.config.fields import Address
from banyansail.platform.store import StoreClient
from banyansail.platform.store_objects import Revision
from banyansail.upstreams.http_call import HttpAnswer
from tests.fakes import FakeClock, run_now

METADATA = {"name": "u1", "revision": 3, "more": {"of": "a newer build"}}
READABLE = {"metadata": METADATA, "spec": {"n": 1}, "more": [1]}
UNREADABLE = [{"spec": {}}, {"metadata": {"name": "u2"}}, None, "text"]


def client_that_gets(body):
    client = StoreClient(None, FakeClock(), Address("127.0.0.1", 1))

    async def call(*args, **options):
        return HttpAnswer(200, [(b"store-era", b"1")], json.dumps(body).encode())

    client._caller.call = call
    return client


def test_an_unreadable_object_does_not_stop_the_reading_of_a_list():
    body = {"items": [*UNREADABLE, READABLE], "at": 5, "more": 1}
    revision, found = run_now(client_that_gets(body).list("servers"))
    assert revision == Revision(1, 5)
    assert [item.name for item in found] == ["u1"]


def test_an_unreadable_event_does_not_stop_the_reading_of_a_watch():
    """Guards against a watch that is sent again and again for one event."""
    events = [{"object": item} for item in UNREADABLE]
    events += [{"bookmark": 4}, {"object": READABLE, "deleted": True, "more": 1}]
    client = client_that_gets({"events": events, "at": 5})
    revision, changes = run_now(client.watch("servers", Revision(1, 2)))
    assert revision == Revision(1, 5)
    assert [(item.stored.name, item.is_deleted) for item in changes] == [("u1", True)]
