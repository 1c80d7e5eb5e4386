"""Tests of the quarantines in the store, without a network."""

from __future__ import annotations

from datetime import timedelta
from random import Random

import pytest
from twisted.internet import defer

from banyansail.gateway.decisions.crashes.crash_guard import CrashGuard, parts_of
from banyansail.gateway.sharing.quarantine_store import (
    QUARANTINES_KIND,
    QuarantineStore,
)
from tests.fakes import FakeClock
from tests.gateway.builders import call, upstream
from tests.gateway.fake_store import FakeStore

POISON_FINGERPRINT = 7


class Router:
    """Crash guard of one router and its link to the store."""

    def __init__(self, store, clock, is_cleaner=False) -> None:
        self.clock = clock
        self.guard = CrashGuard(clock)
        self.link = QuarantineStore(
            store, clock, Random(1), self.guard, lambda: is_cleaner
        )
        run(self.link.refresh())

    def crash(self, *names):
        """Crash upstreams with one request; return the last published value."""
        for name in names:
            value = self.guard.record_crash(upstream(name), call(POISON_FINGERPRINT))
        self.clock.advance(1)
        return value

    @property
    def is_rejecting(self):
        return self.guard.rejection(call(POISON_FINGERPRINT)) is not None


def run(coroutine):
    return defer.Deferred.fromCoroutine(coroutine).result


@pytest.fixture
def clock():
    return FakeClock()


@pytest.fixture
def store():
    return FakeStore()


def stored_names(store):
    return [name for kind, name in store.object_by_key if kind == QUARANTINES_KIND]


def test_a_router_started_after_all_were_killed_rejects_a_quarantined_request(
    store, clock
):
    router = Router(store, clock)
    router.crash("u1", "u2", "u3")
    run(router.link.synchronize())
    assert Router(store, clock).is_rejecting


def test_another_router_writes_if_the_one_that_detected_the_crash_was_killed(
    store, clock
):
    killed, other = Router(store, clock), Router(store, clock)
    other.guard.merge_peer_crashes(killed.crash("u1", "u2", "u3"))
    clock.advance(1)
    run(other.link.synchronize())
    assert not stored_names(store)
    clock.advance(6)
    run(other.link.synchronize())
    assert Router(store, clock).is_rejecting


def test_a_quarantine_is_written_again_to_a_restored_store(store, clock):
    router = Router(store, clock)
    copy = store.copy()
    router.crash("u1", "u2", "u3")
    run(router.link.synchronize())
    store.restore(copy)
    router.link.forget()
    run(router.link.refresh())
    run(router.link.synchronize())
    assert Router(store, clock).is_rejecting


def test_an_expired_quarantine_is_neither_applied_nor_kept(store, clock):
    router = Router(store, clock)
    router.crash("u1", "u2", "u3")
    run(router.link.synchronize())
    assert stored_names(store) == ["request-0000000000000007"]
    clock.advance(700)
    later = Router(store, clock, is_cleaner=True)
    assert not later.is_rejecting
    run(later.link.synchronize())
    assert not stored_names(store)


@pytest.mark.parametrize(
    "name, spec",
    [
        ("zz", {"untilMs": 1}),
        ("request-zz", {"untilMs": 1}),
        ("request-7", {}),
        ("part-7", None),
    ],
)
def test_a_malformed_quarantine_is_ignored(store, clock, name, spec):
    store._put(QUARANTINES_KIND, name, spec)
    assert not Router(store, clock).is_rejecting


def test_nothing_is_written_while_the_content_of_the_store_is_unknown(store, clock):
    router = Router(store, clock)
    router.link.forget()
    router.crash("u1", "u2", "u3")
    run(router.link.synchronize())
    assert not stored_names(store)


def test_a_part_that_an_upstream_answered_at_last_leaves_the_store(store, clock):
    writer, other = Router(store, clock), Router(store, clock)
    bad = call(1, parts=("bad",))
    writer.guard.restore(parts_of(bad)[0], timedelta(minutes=5))
    clock.advance(6)
    run(writer.link.synchronize())
    clock.advance(6)
    run(writer.link.synchronize())
    run(other.link.refresh())
    assert other.guard.rejection(bad) is not None
    other.guard.record_success(bad)
    assert other.guard.rejection(bad) is None
    run(other.link.synchronize())
    assert not stored_names(store)
    assert Router(store, clock).guard.rejection(bad) is None


@pytest.mark.parametrize(
    "name, spec, is_kept",
    [
        ("caller-7", {"untilMs": 2**41}, True),
        ("caller-7", {"untilMs": 1}, False),
        ("request-7", {"until": "later"}, True),
    ],
)
def test_a_quarantine_that_only_a_newer_build_reads_is_deleted_after_its_end(
    store, clock, name, spec, is_kept
):
    """Guards against an older cleaner that lifts the quarantines of a newer build."""
    store._put(QUARANTINES_KIND, name, spec)
    cleaner = Router(store, clock, is_cleaner=True)
    clock.advance(700)
    run(cleaner.link.synchronize())
    assert (name in stored_names(store)) is is_kept
