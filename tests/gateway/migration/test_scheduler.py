"""Which migrations are started, when an engine leaves with or without a known time."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest
from twisted.internet import defer

from banyansail.gateway.decisions.queue.service_state import ServiceState
from banyansail.gateway.decisions.queue.tickets import Ticket
from banyansail.gateway.decisions.streams.migration_order import RunInProgress
from banyansail.gateway.migration.scheduler import (
    MAX_CONCURRENT,
    MAX_TARGETS,
    MigrationScheduler,
)
from banyansail.gateway.site import EngineSpec
from tests.fakes import FakeClock
from tests.gateway.builders import seconds, upstream

DRAIN = timedelta(seconds=2)


class FakeRun:
    """A stream at an engine that ends in a while."""

    def __init__(self, name, source, time_to_end=10.0):
        self.name = name
        self.source = source
        self.time_to_end = seconds(time_to_end)
        self.ticket = Ticket("engines", None, 1, seconds(0), seconds(60))
        self.is_migrating = False
        self.tried_targets = set()
        self.targets = []
        self.done = defer.Deferred()

    def describe(self):
        return RunInProgress(self.name, False, 1000, self.time_to_end)

    def migrate(self, target):
        self.is_migrating = True
        self.tried_targets.add(target)
        self.targets.append(target)
        return self.done


class FakeLoad:
    def __init__(self, upstream):
        self.upstream = upstream


class Engines:
    """A scheduler before three engines; the first one runs streams."""

    def __init__(self):
        self.clock = FakeClock()
        self.state = ServiceState(engine=EngineSpec(16, 100_000, copies_runs=True))
        for name in ("e1", "e2", "e3"):
            self.state.load_by_id[name] = FakeLoad(upstream(name, "engines"))
        self.source = self.state.load_by_id["e1"]
        self.has_budget = True
        self.released = []
        dispatcher = SimpleNamespace(
            state=lambda service: self.state,
            try_slot=self.try_slot,
            release=self.released.append,
        )
        context = SimpleNamespace(
            clock=self.clock,
            dispatcher=dispatcher,
            settings=SimpleNamespace(drain=DRAIN),
            retries=SimpleNamespace(withdraw=lambda service: self.has_budget),
        )
        self.scheduler = MigrationScheduler(context)

    def try_slot(self, ticket):
        free = self.state.load_by_id.keys() - ticket.excluded
        return min(free, default=None)

    def run(self, *names, **options):
        runs = [FakeRun(name, self.source, **options) for name in names]
        self.scheduler.runs.update(runs)
        return runs

    def leave(self, **fields):
        self.source.upstream = replace(self.source.upstream, is_leaving=True, **fields)
        self.scheduler.update()


@pytest.fixture
def engines():
    return Engines()


def test_nothing_migrates_from_an_engine_that_stays(engines):
    (run,) = engines.run("a")
    engines.scheduler.update()
    assert run.targets == []


def test_a_run_migrates_once_its_engine_leaves(engines):
    (run,) = engines.run("a")
    engines.leave(time_left=DRAIN)
    assert run.targets == ["e2"]


def test_an_engine_that_withdrew_its_entry_leaves(engines):
    """Guards against streams cut at engines that never report that they drain."""
    (run,) = engines.run("a")
    del engines.state.load_by_id["e1"]
    engines.scheduler.update()
    assert run.targets == ["e2"]


def test_the_time_of_a_draining_engine_counts_from_when_it_was_first_seen(engines):
    """Guards against a run that is left until its engine has stopped."""
    (run,) = engines.run("a", time_to_end=1.2)
    engines.leave()
    assert run.targets == []  # it ends before the engine does
    engines.clock.advance(0.5)
    engines.scheduler.update()
    assert run.targets == ["e2"]


def test_engines_of_another_version_are_no_targets(engines):
    """Guards against memory that is used with other weights."""
    other = engines.state.load_by_id["e2"]
    other.upstream = replace(other.upstream, version="v2")
    (run,) = engines.run("a")
    engines.leave(time_left=DRAIN)
    assert run.targets == ["e3"]


def test_only_some_runs_are_copied_at_a_time(engines):
    runs = engines.run(*map(str, range(MAX_CONCURRENT + 3)))
    engines.leave(time_left=DRAIN)
    assert sum(run.is_migrating for run in runs) == MAX_CONCURRENT
    moved = next(run for run in runs if run.is_migrating)
    engines.scheduler.runs.discard(moved)
    moved.done.callback(None)
    assert sum(run.is_migrating for run in runs) == MAX_CONCURRENT + 1


def test_each_target_is_tried_once(engines):
    (run,) = engines.run("a")
    engines.leave(time_left=DRAIN)
    for _ in range(MAX_TARGETS + 1):
        run.is_migrating = False
        engines.scheduler.update()
    assert run.targets == ["e2", "e3"]


def test_a_run_stays_where_the_retry_budget_is_used_up(engines):
    """Guards against continuations that exceed the budget of the fleet."""
    engines.has_budget = False
    (run,) = engines.run("a")
    engines.leave(time_left=DRAIN)
    assert run.targets == []
    assert engines.released == ["e2"]


def test_nothing_migrates_between_engines_that_copy_no_runs(engines):
    engines.state.engine = EngineSpec(16, 100_000)
    (run,) = engines.run("a")
    engines.leave(time_left=DRAIN)
    assert run.targets == []
