"""Tests of which router reports usage, and when another takes over."""

from __future__ import annotations

import dataclasses
from datetime import timedelta

import pytest

from banyansail.exceptions import PlatformUnavailableError
from banyansail.fleet.ranking import rank_names
from banyansail.gateway.duties.usage import SteadyTime, UsageCounter
from banyansail.gateway.duties.usage_reporter import UsageReporter
from banyansail.traffic.aggregator import TrafficAggregator
from banyansail.traffic.fleet_traffic import FleetTraffic
from banyansail.traffic.report import TrafficReport
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore

NAMES = rank_names("duties", ["a", "b", "c"])
WINDOW_S, DUE_S = 5, 10


@dataclasses.dataclass
class ReporterSettings:
    name: str
    lease: timedelta = timedelta(seconds=3)
    usage_late: timedelta = timedelta(seconds=DUE_S)
    is_first_start: bool = False


class FakeCloud:
    """Records usage reports and accepts them all."""

    def __init__(self, clock):
        self.clock = clock
        self.reports: list[tuple[float, int, dict[str, int], int]] = []

    async def report_usage(self, window, counts, fencing_token):
        at = self.clock.now().timestamp()
        self.reports.append((at, window, dict(counts), fencing_token))
        return True


class RouterStore:
    """The store for one router; `is_refused` rejects the calls of this router only."""

    def __init__(self, store):
        self._store = store
        self.is_refused = False

    def __getattr__(self, name):
        if self.is_refused:
            raise PlatformUnavailableError("the store answered 429")
        return getattr(self._store, name)


class Fleet:
    """Three routers that exchange their traffic figures every second."""

    def __init__(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.cloud = FakeCloud(self.clock)
        self.store_by_name = {name: RouterStore(self.store) for name in NAMES}
        self.fleet_by_name = {name: FleetTraffic(name, self.clock) for name in NAMES}
        self.aggregator = TrafficAggregator(NAMES[0], self.clock)
        self.usage_by_name = {
            name: UsageCounter(SteadyTime(self.clock), timedelta(seconds=WINDOW_S))
            for name in NAMES
        }
        self.reporter_by_name = {
            name: UsageReporter(
                ReporterSettings(name),
                self.clock,
                self.store_by_name[name],
                self.cloud,
                self.usage_by_name[name],
                self.fleet_by_name[name],
            )
            for name in NAMES
        }
        self.stopped: set[str] = set()
        self.sequence = 0

    def run(self, seconds, refused=()):
        for _ in range(seconds):
            self.clock.advance(1)
            self._gossip(refused)
            for name in NAMES:
                self.usage_by_name[name].count("w")
                self.store_by_name[name].is_refused = name in refused
                if name not in self.stopped and name not in refused:
                    run_now(self.reporter_by_name[name].report(["w"]))

    def _gossip(self, refused):
        self.sequence += 1
        running = [name for name in NAMES if name not in self.stopped]
        for name in running:
            report = TrafficReport(is_unfit_for_duties=name in refused)
            self.fleet_by_name[name].record_own(self.sequence, report)
            self.aggregator.merge_report(name, 1, self.sequence, report)
        fleet_sum = self.aggregator.fleet_sum(self.aggregator.zone_sum())
        for name in running:
            self.fleet_by_name[name].merge(NAMES[0], 1, fleet_sum)
            for other in running:
                if other != name:
                    self.usage_by_name[other].merge_peer_counts(
                        f"{name}.1", self.usage_by_name[name].own_counts
                    )

    def lateness(self):
        """Return how long after its end each window was first reported."""
        first = {}
        for at, window, _, _ in self.cloud.reports:
            first.setdefault(window, at - (window + 1) * WINDOW_S)
        return first


@pytest.fixture
def fleet():
    return Fleet()


def check_all_in_time(fleet, seconds):
    lateness = fleet.lateness()
    windows = sorted(lateness)
    assert windows == list(range(windows[0], windows[-1] + 1))
    assert max(lateness.values()) <= DUE_S
    assert len(windows) >= (seconds - DUE_S) // WINDOW_S
    counts_by_window = {}
    for _, window, counts, _ in fleet.cloud.reports:
        assert counts_by_window.setdefault(window, counts) == counts


def test_each_window_is_reported_in_time_and_once(fleet):
    fleet.run(60)
    check_all_in_time(fleet, 60)
    assert len(fleet.cloud.reports) == len(fleet.lateness())


@pytest.mark.parametrize("start", range(5))
def test_a_holder_that_the_store_refuses_is_replaced_in_time(fleet, start):
    """The router still sends gossip, but its peers must not treat it as the holder."""
    fleet.run(20 + start)
    fleet.run(20, refused=NAMES[:1])
    fleet.run(20)
    check_all_in_time(fleet, 60 + start)
    fencing_tokens = [token for _, _, _, token in fleet.cloud.reports]
    assert fencing_tokens == sorted(fencing_tokens)


@pytest.mark.parametrize("start", range(5))
def test_a_holder_that_is_killed_is_replaced_in_time(fleet, start):
    fleet.run(20 + start)
    fleet.stopped.add(NAMES[0])
    fleet.run(30)
    check_all_in_time(fleet, 50 + start)


def test_the_last_candidate_sends_no_calls_to_the_store(fleet):
    fleet.run(20)
    last = fleet.reporter_by_name[NAMES[-1]]
    before = fleet.store.calls
    for _ in range(10):
        run_now(last.report(["w"]))
    assert fleet.store.calls == before


def reported_counts(fleet):
    """Return the different counts reported for each window."""
    counts_by_window = {}
    for _, window, counts, _ in fleet.cloud.reports:
        found = counts_by_window.setdefault(window, [])
        if counts not in found:
            found.append(counts)
    return counts_by_window


@pytest.mark.parametrize("stops_holder", [False, True])
def test_no_window_is_reported_with_other_counts_after_a_restore(fleet, stops_holder):
    """The store forgets the counts that were sent; a count may have risen since."""
    empty = fleet.store.copy()
    fleet.run(40)
    fleet.store.restore(empty)
    if stops_holder:
        fleet.stopped.add(NAMES[0])
    for name in NAMES:
        for window in fleet.usage_by_name[name].own_counts:
            fleet.usage_by_name[name].own_counts[window]["w"] += 1
        fleet.reporter_by_name[name].record_restore()
    fleet.run(40)
    counts_by_window = reported_counts(fleet)
    assert all(len(found) == 1 for found in counts_by_window.values())
    newest = max(counts_by_window)
    assert set(range(newest - 3, newest + 1)) <= counts_by_window.keys()


def test_windows_that_ended_are_reported_before_all_routers_are_killed(fleet):
    """Guards against windows that are lost as their counts are kept in memory only."""
    fleet.run(40)
    newest = fleet.usage_by_name[NAMES[0]].current_window() - 1
    while fleet.usage_by_name[NAMES[0]].age_of(newest) < timedelta(seconds=2):
        fleet.run(1)
    fleet.stopped.update(NAMES)
    (counts,) = reported_counts(fleet)[newest]
    assert counts == {"w": len(NAMES) * WINDOW_S}


class LoneRouter:
    """A router that hears of no other, in the same data centre as a store."""

    def __init__(self, name, clock, store, cloud):
        usage = UsageCounter(SteadyTime(clock), timedelta(seconds=WINDOW_S))
        fleet = FleetTraffic(name, clock)
        self.clock = clock
        self.usage = usage
        self.reporter = UsageReporter(
            ReporterSettings(name), clock, store, cloud, usage, fleet
        )


def test_a_router_that_just_started_does_not_take_a_free_lease():
    """Guards against reports by a router that knows no counts but its own."""
    clock, store = FakeClock(), FakeStore()
    cloud = FakeCloud(clock)
    holder = LoneRouter("a", clock, store, cloud)
    clock.advance(10)
    run_now(holder.reporter.report(["w"]))
    run_now(holder.reporter.release())
    fresh = LoneRouter("b", clock, store, cloud)
    run_now(fresh.reporter.report(["w"]))
    assert fresh.reporter.lease.fencing_token() is None
    clock.advance(2)
    run_now(fresh.reporter.report(["w"]))
    assert fresh.reporter.lease.fencing_token() == 2


def test_the_next_holder_reports_the_counts_that_were_handed_over():
    """Guards against windows without the routers that were restarted in them."""
    clock, store = FakeClock(), FakeStore()
    cloud = FakeCloud(clock)
    holder = LoneRouter("a", clock, store, cloud)
    clock.advance(10)
    run_now(holder.reporter.report(["w"]))
    window = holder.usage.current_window()
    holder.usage.merge_peer_counts("ended.1", {window: {"w": 7}})
    clock.advance(3)
    run_now(holder.reporter.release())
    fresh = LoneRouter("b", clock, store, cloud)
    for _ in range(15):
        clock.advance(1)
        run_now(fresh.reporter.report(["w"]))
    counts = {number: found for _, number, found, _ in cloud.reports}
    assert counts[window] == {"w": 7}


def test_a_handover_that_can_not_be_read_stops_no_report():
    clock, store = FakeClock(), FakeStore()
    cloud = FakeCloud(clock)
    holder = LoneRouter("a", clock, store, cloud)
    clock.advance(10)
    run_now(holder.reporter.report(["w"]))
    run_now(holder.reporter.lease.release({"p": {"x": 1}}))
    fresh = LoneRouter("b", clock, store, cloud)
    for _ in range(15):
        clock.advance(1)
        fresh.usage.count("w")
        run_now(fresh.reporter.report(["w"]))
    assert cloud.reports


def run_alone(router, seconds):
    for _ in range(seconds):
        router.clock.advance(1)
        router.usage.count("w")
        run_now(router.reporter.report(["w"]))


def hear_some_counts(router):
    """Give a router the counts of one other for windows that have ended."""
    window = router.usage.current_window()
    counts = {number: {"w": 1} for number in range(window - 4, window)}
    router.usage.merge_peer_counts("other.1", counts)


def check_reported_once(cloud):
    """Guards against two reports of a window with different counts."""
    counts_by_window = {}
    for _, window, counts, _ in cloud.reports:
        assert counts_by_window.setdefault(window, counts) == counts


@pytest.mark.parametrize("restores", [1, 2])
@pytest.mark.parametrize("released", [False, True])
def test_a_router_that_starts_after_a_restore_reports_nothing_again(restores, released):
    """Guards against other counts of a window that the store has forgotten.

    The new process knows neither the restore nor the counts of the one before.
    """
    clock, store = FakeClock(), FakeStore()
    cloud = FakeCloud(clock)
    holder = LoneRouter("a", clock, store, cloud)
    copy = store.copy()
    run_alone(holder, 28)
    for _ in range(restores):
        store.restore(copy)
    if released:
        holder.reporter.record_restore()
        run_now(holder.reporter.release())
    before = len(cloud.reports)
    fresh = LoneRouter("b", clock, store, cloud)
    hear_some_counts(fresh)
    run_alone(fresh, 30)
    check_reported_once(cloud)
    windows = [window for _, window, _, _ in cloud.reports[before:]]
    newest = fresh.usage.current_window() - 2
    assert set(range(newest - 2, newest + 1)) <= set(windows)


def test_routers_that_start_one_after_the_other_report_nothing_again():
    """Guards against a bound that is gone with the process that noticed a restore."""
    clock, store = FakeClock(), FakeStore()
    cloud = FakeCloud(clock)
    holder = LoneRouter("a", clock, store, cloud)
    copy = store.copy()
    run_alone(holder, 28)
    store.restore(copy)
    for name in ("b", "c", "d", "e"):
        router = LoneRouter(name, clock, store, cloud)
        hear_some_counts(router)
        run_alone(router, 7)
        run_now(router.reporter.release())
    check_reported_once(cloud)


def test_a_window_that_ended_before_the_start_is_reported_if_nothing_is_forgotten():
    """Guards against windows that are left out at each start of a process."""
    clock, store = FakeClock(), FakeStore()
    cloud = FakeCloud(clock)
    holder = LoneRouter("a", clock, store, cloud)
    run_alone(holder, 27)
    window = holder.usage.current_window()
    holder.usage.merge_peer_counts("ended.1", {window: {"w": 7}})
    clock.advance(3)
    run_now(holder.reporter.release())
    clock.advance(1)
    fresh = LoneRouter("b", clock, store, cloud)
    run_alone(fresh, 12)
    assert {"w": 7} in reported_by_window(cloud)[window]


def reported_by_window(cloud):
    counts_by_window = {}
    for _, window, counts, _ in cloud.reports:
        counts_by_window.setdefault(window, []).append(counts)
    return counts_by_window


class StoreRestoredInBetween(FakeStore):
    """A store that is restored just before the first call for a window by a router."""

    def __init__(self):
        super().__init__()
        self.restore_before_call = None

    def _restore_if_due(self, kind, name):
        if self.restore_before_call and kind == "usage" and name.isdigit():
            restore, self.restore_before_call = self.restore_before_call, None
            restore()

    async def get(self, kind, name, **options):
        self._restore_if_due(kind, name)
        return await super().get(kind, name, **options)

    async def create(self, kind, name, spec):
        self._restore_if_due(kind, name)
        return await super().create(kind, name, spec)


def test_a_call_that_meets_a_restored_store_stores_no_other_counts():
    """Guards against counts that are stored before their writer learns of a restore."""
    clock, store = FakeClock(), StoreRestoredInBetween()
    cloud = FakeCloud(clock)
    before = LoneRouter("a", clock, store, cloud)
    copy = store.copy()
    run_alone(before, 28)
    run_now(before.reporter.release())
    holder = LoneRouter("b", clock, store, cloud)
    hear_some_counts(holder)

    def restore():
        store.restore(copy)
        holder.reporter.record_restore()

    store.restore_before_call = restore
    run_alone(holder, 30)
    assert store.restore_before_call is None
    check_reported_once(cloud)
