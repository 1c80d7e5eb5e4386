"""Answers of the store that end before their body."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from banyansail.exceptions import PlatformUnavailableError
from banyansail.platform.store import StoreClient
from banyansail.platform.store_objects import Revision
from banyansail.upstreams.http_call import HttpAnswer
from tests.fakes import FakeClock, run_now


class _Caller:
    """Answers every call with a success without a body."""

    def __init__(self, *headers):
        self.headers = list(headers)

    async def call(self, method, target, timeout, **options):
        return HttpAnswer(200, self.headers, b"")


@pytest.mark.parametrize(
    "call",
    [
        lambda store: store.list("servers"),
        lambda store: store.get("servers", "a"),
        lambda store: store.watch("servers", Revision(0, 1)),
        lambda store: store.create("servers", "a", {}),
        lambda store: store.replace("servers", "a", {}, Revision(0, 1)),
    ],
    ids=["list", "get", "watch", "create", "replace"],
)
def test_an_answer_that_ended_before_its_body_is_not_taken_for_one(call):
    store = StoreClient(None, FakeClock(), None)
    store._caller = _Caller()
    with pytest.raises(PlatformUnavailableError):
        run_now(call(store))


def test_an_object_is_deleted_though_the_answer_has_no_body():
    store = StoreClient(None, FakeClock(), None)
    store._caller = _Caller()
    run_now(store.delete("servers", "a"))


@pytest.mark.parametrize("first", [0, 1, 7])
def test_the_first_restore_is_noticed_whatever_the_first_era_is(first):
    """Guards against an era of 0 that is taken for one that is not known."""
    restores = []
    store = StoreClient(Clock(), FakeClock(), None)
    store.add_restore_listener(lambda: restores.append(store.era))
    store._caller = _Caller((b"Store-Era", b"%d" % first))
    run_now(store.delete("servers", "a"))
    assert restores == []
    store._caller = _Caller((b"Store-Era", b"%d" % (first + 1)))
    run_now(store.delete("servers", "a"))
    run_now(store.delete("servers", "a"))
    assert restores == [first + 1]


def test_an_answer_without_an_era_is_no_reason_to_notice_a_restore():
    """Guards against a restore that is noticed as an answer lacks the header."""
    restores = []
    store = StoreClient(Clock(), FakeClock(), None)
    store.add_restore_listener(lambda: restores.append(store.era))
    store._caller = _Caller()
    run_now(store.delete("servers", "a"))
    store._caller = _Caller((b"Store-Era", b"3"))
    run_now(store.delete("servers", "a"))
    store._caller = _Caller()
    run_now(store.delete("servers", "a"))
    assert (restores, store.era) == ([], 3)
