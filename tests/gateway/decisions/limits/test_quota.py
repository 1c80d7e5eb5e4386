from __future__ import annotations

from collections import deque
from random import Random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.limits.quota import QuotaLimiter, cost_of
from tests.fakes import FakeClock
from tests.gateway.builders import workspace

WINDOW_S = 8.0


def settled_limiter(clock, slack=0.0):
    """Return the limiter of a router that started some time ago."""
    limiter = QuotaLimiter(clock, Random(1), slack)
    clock.advance(10)
    return limiter


def test_a_quota_is_refused_with_the_time_until_it_is_refilled():
    clock = FakeClock()
    limiter = settled_limiter(clock)
    owner = workspace(rate=100, burst=100)
    assert limiter.charge(owner, 150) is None
    wait = limiter.charge(owner, 10).retry_after
    assert 0.4 <= wait.total_seconds() <= 0.6
    clock.advance(wait.total_seconds() + 0.01)
    assert limiter.charge(owner, 10) is None


def test_no_limit_means_no_limit():
    limiter = QuotaLimiter(FakeClock(), Random(1))
    assert all(limiter.charge(workspace(rate=0), 1e9) is None for _ in range(5))


def test_the_cost_of_a_request_that_did_not_run_is_refunded():
    limiter = settled_limiter(FakeClock())
    owner = workspace(rate=100, burst=100)
    limiter.charge(owner, 150)
    limiter.refund(owner, 150)
    assert limiter.charge(owner, 10) is None
    assert limiter.used_by_workspace["w"] == 10


def test_a_request_that_was_admitted_is_charged_again_over_the_quota():
    """Guards against a second run that nobody is charged for."""
    limiter = settled_limiter(FakeClock())
    owner = workspace(rate=100, burst=100)
    limiter.charge(owner, 150)
    limiter.charge_run(owner, 50)
    assert limiter.used_by_workspace["w"] == 200
    assert limiter.rejected_by_workspace == {}
    assert limiter.charge(owner, 10).level == -100


def test_tokens_count_where_the_quota_is_in_tokens():
    owner = workspace(counts_tokens=True, default_cost=200)
    assert cost_of(owner, 1460) == 1460
    assert cost_of(owner, None) == 200
    assert cost_of(workspace(), 1460) == 1


REPORT_S, URGENT_REPORT_S, DELAY_S = 0.4, 0.1, 0.05
TOLERATED = 1200  # use beyond the quota, about what the fleet uses in a second


def test_half_of_what_is_tolerated_is_spent_before_a_caller_is_refused():
    limiter = settled_limiter(FakeClock(), TOLERATED)
    owner = workspace(rate=100, burst=100)
    assert limiter.charge(owner, 690) is None
    assert limiter.charge(owner, 20) is None
    assert limiter.charge(owner, 10).retry_after.total_seconds() <= 0.2


def test_estimated_use_alone_does_not_reject_a_request_at_once():
    """Use that is estimated since a peer's last report may not have happened."""
    clock = FakeClock()
    owner = workspace(rate=1000, burst=1000)
    refusals = {}
    for slack in (0, TOLERATED):
        limiter = settled_limiter(clock, slack)
        for number in range(3):
            limiter.merge_peer_use("r1", 1, {"w": 1000 * number})
            clock.advance(1)
        limiter.charge(owner, 1000)
        refusals[slack] = limiter.charge(owner, 10)
    assert refusals[0].level > 0
    assert refusals[TOLERATED] is None


def run_fleet(demands, parts=(), cut=(0, 0), hot_from=0, restarts=(), idle=()):
    """Simulate routers with delayed reports; return the use by time.

    Parameters
    ----------
    demands : list of int
        Requests of ten units that each router receives in a tenth of a second.
    parts : sets of int
        Routers that receive each other's reports during the partition.
    cut : (float, float)
        Start and end of the partition.
    hot_from : float
        Time before which each router receives a twentieth of the quota.
    restarts : tuple of (float, int)
        Times at which a router restarts without any state.
    idle : tuple of (int, float)
        Routers that receive no requests before a time.
    """
    clock = FakeClock()
    owner = workspace(rate=1000, burst=1000)
    limiters = [make_limiter(clock, owner, len(demands)) for _ in demands]
    incarnations = [1] * len(limiters)
    reported_at = [0.0] * len(limiters)
    in_transit = deque()
    used = []
    step = 0.05
    for tick in range(600):
        clock.advance(step)
        at = tick * step
        for index in _restarted(restarts, at, step):
            limiters[index] = make_limiter(clock, owner, len(demands))
            incarnations[index] += 1
        for index, limiter in enumerate(limiters):
            usual = tick % 4 // 3  # 5% of the quota at each router
            demand = demands[index] * (tick % 2) if at >= hot_from else usual
            for _ in range(demand * (at >= dict(idle).get(index, 0))):
                if limiter.charge(owner, 10) is None:
                    used.append((at, 10))
            interval = URGENT_REPORT_S if limiter.has_urgent_use else REPORT_S
            if at - reported_at[index] >= interval - 1e-9:
                reported_at[index] = at
                limiter.has_urgent_use = False
                report = (incarnations[index], dict(limiter.used_by_workspace))
                in_transit.append((at + DELAY_S, index, *report))
        while in_transit and in_transit[0][0] <= at:
            _, origin, incarnation, totals = in_transit.popleft()
            for index, limiter in enumerate(limiters):
                if index != origin and _receives(index, origin, parts, cut, at):
                    limiter.merge_peer_use(f"r{origin}", incarnation, totals)
    return used


def make_limiter(clock, owner, routers):
    limiter = QuotaLimiter(clock, Random(1), TOLERATED)
    limiter.known_routers = routers
    limiter.workspace_by_name = {owner.name: owner}
    return limiter


def _restarted(restarts, at, step):
    return [index for restart_at, index in restarts if abs(at - restart_at) < step / 2]


def _receives(index, origin, parts, cut, at):
    if not cut[0] <= at < cut[1]:
        return True
    return any(index in part and origin in part for part in parts)


def most_in_a_window(used):
    return max(
        sum(cost for at, cost in used if start <= at < start + WINDOW_S)
        for start in range(22)
    )


# What the platform allows in a window: 10% more, and about one second of use.
ALLOWED = (1000 * WINDOW_S + 1000) * 1.1 + TOLERATED


# A hot workspace sends 7.5 times its usual load, which is 4.2 times its quota.
MOST_ASKED = 42
fleet_demands = st.lists(st.integers(0, 10), min_size=9, max_size=9).filter(
    lambda demands: sum(demands) <= MOST_ASKED
)


@settings(
    derandomize=True,
    max_examples=15,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
)
# A hot workspace sends 7.5 times its usual load, which is 4.2 times its quota.
@given(
    st.lists(st.integers(0, 10), min_size=9, max_size=9).filter(lambda d: sum(d) <= 42)
)
def test_routers_together_keep_a_quota_that_is_asked_for_several_times(demands):
    assert most_in_a_window(run_fleet(demands)) <= ALLOWED


def test_a_quota_in_demand_is_used():
    used = run_fleet([3] * 9)
    assert sum(cost for at, cost in used if at >= 10) >= 0.9 * 1000 * 20


def test_a_workspace_that_turns_hot_in_a_divided_fleet_keeps_its_quota():
    parts = ({0, 1, 2}, {3, 4, 5, 6, 7, 8})
    used = run_fleet([4] * 9, parts, cut=(8, 18), hot_from=10)
    assert most_in_a_window(used) <= ALLOWED


def test_a_divided_fleet_keeps_the_quota_and_uses_most_of_it():
    parts = ({0, 1, 2}, {3, 4, 5, 6, 7, 8})
    used = run_fleet([4] * 9, parts, cut=(10, 20))
    assert most_in_a_window(used) <= ALLOWED
    assert sum(cost for at, cost in used if 11 <= at < 20) >= 0.5 * 1000 * 9


def test_a_router_that_starts_has_an_empty_bucket():
    clock = FakeClock()
    limiter = QuotaLimiter(clock, Random(1), TOLERATED)
    owner = workspace(rate=100, burst=1000)
    limiter.merge_peer_use("r1", 1, {"w": 5000})
    clock.advance(0.5)
    assert limiter.charge(owner, 60) is None
    assert limiter.charge(owner, 10) is not None
    clock.advance(0.2)
    assert limiter.charge(owner, 10) is None


def test_a_router_that_knows_no_number_of_routers_refills_no_quota():
    """Guards against routers that start together and each take the whole rate."""
    clock = FakeClock()
    limiter = QuotaLimiter(clock, Random(1), TOLERATED, known_routers=0)
    owner = workspace(rate=1000, burst=1000)
    clock.advance(0.2)
    assert limiter.charge(owner, 10) is not None
    limiter.known_routers = 10
    clock.advance(0.2)
    assert limiter.charge(owner, 30) is None
    assert limiter.charge(owner, 10).level <= 0


@pytest.mark.parametrize("restarted", [1, 3, 9])
def test_restarted_routers_get_no_new_burst(restarted):
    """A workspace is hot while routers are replaced, one every half second."""
    restarts = tuple((12 + 0.5 * index, index) for index in range(restarted))
    used = run_fleet([4] * 9, restarts=restarts)
    assert most_in_a_window(used) <= ALLOWED


def test_routers_that_restart_together_serve_soon():
    restarts = tuple((12, index) for index in range(9))
    used = run_fleet([3] * 9, restarts=restarts)
    assert sum(cost for at, cost in used if 12 <= at < 16) >= 0.9 * 1000 * 4


@pytest.mark.parametrize("groups", [2, 9])
def test_routers_that_restart_behind_a_cut_keep_the_quota(groups):
    """Guards against routers that each refill the quota of the whole fleet."""
    parts = tuple(set(range(9)[number::groups]) for number in range(groups))
    restarts = tuple((12, index) for index in range(9))
    used = run_fleet([4] * 9, parts, cut=(11.5, 25), restarts=restarts)
    assert most_in_a_window(used) <= ALLOWED


def test_use_by_others_is_charged_to_a_router_without_requests():
    """A bucket refilled only by own requests hides what others use meanwhile."""
    clock = FakeClock()
    owner = workspace(rate=100, burst=100)
    limiter = QuotaLimiter(clock, Random(1))
    limiter.workspace_by_name = {owner.name: owner}
    limiter.merge_peer_use("others", 1, {"w": 0})
    clock.advance(30)
    for number in range(1, 11):
        limiter.merge_peer_use("others", 1, {"w": 60 * number})
        clock.advance(0.4)
    assert limiter.charge(owner, 10) is not None


@pytest.mark.parametrize("count", [2, 5, 8])
def test_routers_that_a_hot_workspace_reaches_late_keep_its_quota(count):
    busy = 9 - count
    demands = [MOST_ASKED // busy] * busy + [4] * count
    idle = tuple((index, 16) for index in range(busy, 9))
    used = run_fleet(demands, hot_from=10, idle=idle)
    assert most_in_a_window(used) <= ALLOWED
