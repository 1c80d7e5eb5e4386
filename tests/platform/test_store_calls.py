"""Calls to the store are recorded by kind, operation and outcome."""

from __future__ import annotations

import pytest

from banyansail.platform.store import StoreClient
from banyansail.platform.store_calls import CallOutcome, CallRecord
from banyansail.upstreams.http_call import HttpAnswer
from tests.fakes import FakeClock, run_now


class _Caller:
    """Answers every call with the same status."""

    def __init__(self, status):
        self.status = status

    async def call(self, method, target, timeout, **options):
        body = b'{"metadata": {"name": "a", "revision": 1}, "items": [], "at": 1}'
        return HttpAnswer(self.status, [], body)


def recorded(status, call):
    """Return the records of a call to a store that answers with a status."""
    records = []
    store = StoreClient(None, FakeClock(), None, records.append)
    store._caller = _Caller(status)
    try:
        run_now(call(store))
    except Exception:  # what the caller sees is tested elsewhere
        pass
    return records


@pytest.mark.parametrize(
    ("call", "operation"),
    [
        (lambda store: store.list("servers"), "list"),
        (lambda store: store.list("servers", serializable=True), "cheap_list"),
        (lambda store: store.get("servers", "a"), "get"),
        (lambda store: store.get("servers", "a", serializable=True), "cheap_get"),
        (lambda store: store.create("servers", "a", {}), "create"),
        (lambda store: store.delete("servers", "a"), "delete"),
    ],
)
def test_each_operation_is_recorded_under_its_name(call, operation):
    """A wrong name would hide which calls cost the most."""
    assert recorded(200, call) == [
        CallRecord("servers", operation, CallOutcome.ANSWERED)
    ]


@pytest.mark.parametrize("status", [429, 500, 503])
def test_a_call_that_the_store_refuses_is_recorded_as_refused(status):
    """Refused calls are priced too; counted as answered they would not be seen."""
    (record,) = recorded(status, lambda store: store.list("servers"))
    assert record.outcome is CallOutcome.REFUSED


def test_a_conflict_is_an_answer():
    (record,) = recorded(409, lambda store: store.create("servers", "a", {}))
    assert record == CallRecord("servers", "create", CallOutcome.ANSWERED)
