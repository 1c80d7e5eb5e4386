"""Calls that pass on changes in the store are decoded as they were encoded."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.exceptions import WireError
from banyansail.platform.store_objects import Revision, StoredObject
from banyansail.wire.call_codec import (
    decode_call,
    decode_reply,
    encode_call,
    encode_reply,
)
from banyansail.wire.call_types import FollowStore, KindChanges, StoreChanges
from banyansail.wire.schema import schema


def test_a_call_names_the_revisions_that_are_known():
    """An unknown list must not look like revision 0, at which nothing may change."""
    known = {"config": Revision(2, 2**40), "servers": Revision(0, 0), "rollouts": None}
    call = FollowStore(known, timedelta(milliseconds=500))
    assert decode_call(encode_call(7, call)) == (7, call)


def test_a_reply_carries_objects_removals_and_ages():
    revision = Revision(3, 90)
    stored = StoredObject("d1", Revision(3, 88), {"state": "ready"}, {"n": 1}, 5)
    changes = KindChanges(
        "servers",
        revision,
        False,
        (stored,),
        ("d2", "d3"),
        ("d3",),
        timedelta(milliseconds=1200),
    )
    reply = StoreChanges((changes,), timedelta(milliseconds=499))
    assert decode_reply(encode_reply(8, reply)) == (8, reply)


@pytest.mark.parametrize("text", ["", "[]", '{"name": "a"}', "{"])
def test_a_malformed_object_is_an_error_of_the_wire(text):
    """Any other error would end the connection's reader with a traceback."""
    message = schema.Reply.new_message(
        id=1, storeChanges={"kinds": [{"kind": "config", "objects": [text]}]}
    )
    with pytest.raises(WireError):
        decode_reply(message.to_bytes_packed())
