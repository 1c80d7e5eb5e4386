"""Migration of one run against scripted answers of its source."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from banyansail.gateway.decisions.streams.migration import Copied, CopyRefused
from banyansail.gateway.migration import run as run_module
from banyansail.gateway.migration.run import STREAM_END_TIMEOUT, RunMigration
from tests.fakes import FakeClock
from tests.gateway.builders import call, upstream


class FakeDispatcher:
    def __init__(self):
        self.released = []

    def release(self, slot):
        self.released.append(slot)

    def take_slot(self, load):
        return SimpleNamespace(load=load)


class Migrating:
    """A migration whose source gives these answers, in this order."""

    def __init__(self, monkeypatch, *replies):
        self.replies = list(replies)
        self.freed = []
        self.aborted = []
        self.reactor = Clock()
        self.dispatcher = FakeDispatcher()
        monkeypatch.setattr(run_module, "copy_run", self._copy_run)
        monkeypatch.setattr(run_module, "free_copy", self._free_copy)
        context = SimpleNamespace(
            reactor=self.reactor,
            clock=FakeClock(),
            dispatcher=self.dispatcher,
            pool_of=lambda address: None,
        )
        source, target = (
            SimpleNamespace(upstream=upstream(name)) for name in ("e1", "e2")
        )
        self.target = SimpleNamespace(load=target)
        self.migration = RunMigration(
            context, call(), source, self.target, self.aborted.append
        )
        self.migration.start()

    async def _copy_run(self, reactor, pool, attempt_id, target, *, stops):
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def _free_copy(self, reactor, pool, handle):
        self.freed.append(handle)

    def end_stream(self, *, is_complete=False):
        """End the source's answer; return the verdict, once there is one."""
        verdict = []
        settled = defer.ensureDeferred(self.migration.settle(is_complete=is_complete))
        settled.addCallback(verdict.append)
        return verdict

    def places(self):
        return [
            (slot.load.upstream.id, memory.decode().rpartition("/")[2])
            for slot, (_, memory) in self.migration.continuations()
        ]


def test_a_stopped_run_may_continue_at_the_target_and_then_at_the_source(monkeypatch):
    migrating = Migrating(monkeypatch, Copied("h1"), Copied("h2"))
    assert migrating.end_stream() == [True]
    assert migrating.places() == [("e2", "h2"), ("e1", "h2")]


@pytest.mark.parametrize("replies", [(CopyRefused(),), (RuntimeError("a fault"),)])
def test_a_run_that_stays_gives_the_slot_back(monkeypatch, replies):
    migrating = Migrating(monkeypatch, *replies)
    assert migrating.dispatcher.released == [migrating.target]
    assert migrating.end_stream() == [False]


def test_a_fault_while_the_run_stops_does_not_hold_its_caller(monkeypatch):
    """Guards against a caller that waits until its deadline."""
    migrating = Migrating(monkeypatch, Copied("h1"), RuntimeError("a fault"))
    assert migrating.end_stream() == [True]
    assert migrating.places() == [("e2", "h1")]


def test_a_stream_that_does_not_end_after_the_stop_is_closed(monkeypatch):
    """Guards against a run that stopped and continues nowhere."""
    migrating = Migrating(monkeypatch, Copied("h1"), Copied("h2"))
    migrating.reactor.advance(STREAM_END_TIMEOUT.total_seconds())
    assert len(migrating.aborted) == 1


def test_the_copy_of_a_stream_that_ended_by_itself_is_freed(monkeypatch):
    """Guards against memory that nobody uses until it expires."""
    migrating = Migrating(monkeypatch, Copied("h1"), Copied("h2"))
    assert migrating.end_stream(is_complete=True) == [False]
    assert migrating.freed == ["h2"]
    assert migrating.dispatcher.released == [migrating.target]
