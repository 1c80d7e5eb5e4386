"""Answers of the store that end before their body."""

from __future__ import annotations

import pytest

from banyansail.exceptions import PlatformUnavailableError
from banyansail.platform.store import Revision, StoreClient
from banyansail.upstreams.http_call import HttpAnswer
from tests.fakes import FakeClock, run_now


class _Caller:
    """Answers every call with a success without a body."""

    async def call(self, method, target, timeout, **options):
        return HttpAnswer(200, [], b"")


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
