"""Simulated fleet whose routers admit the requests of one workspace."""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from banyansail.gateway.decisions.limits.quota import QuotaLimiter
from banyansail.gateway.sharing.traffic_report import apply_quota_use
from banyansail.traffic.report import TrafficReport
from tests.gateway.builders import workspace
from tests.traffic.simulated_fleet import STEP_S, Router, SimulatedFleet

RATE, BURST = 200_000, 400_000  # tokens a second, tokens
TOLERATED = 140_000  # tokens beyond the quota that are tolerated in a window
TOLERATED_SHARE = 0.1
WINDOW_S = 8
ALLOWED = (RATE * WINDOW_S + BURST) * (1 + TOLERATED_SHARE) + TOLERATED
ZONES = 4
START_SPREAD_S = 0.4  # so that not all routers report at the same time
OWNER = workspace(rate=RATE, burst=BURST)


class QuotaRouter(Router):
    """Router with quotas, whose callers ask for tokens of one workspace."""

    def __init__(self, fleet, name, zone, incarnation):
        super().__init__(fleet, name, zone, incarnation)
        self.quota = QuotaLimiter(
            fleet.clock, Random(f"{name} {incarnation}"), TOLERATED
        )
        self.quota.workspace_by_name = {OWNER.name: OWNER}
        self.quota.known_routers = fleet.size
        self.is_frozen = True
        self.starts_at = fleet.now() + fleet.random.random() * START_SPREAD_S

    def _report(self):
        report = TrafficReport(
            dict(self.quota.used_by_workspace),
            is_urgent=self.is_urgent,
            rejected_by_workspace=dict(self.quota.rejected_by_workspace),
        )
        self.is_urgent = self.quota.has_urgent_use = False
        return report

    def _on_sum(self):
        apply_quota_use(self.quota, self.known)

    def ask(self, tokens):
        """Ask for the tokens of one request."""
        if self.quota.charge(OWNER, tokens) is None:
            self.used += tokens
            self.fleet.used_by_step[self.fleet.step()] += tokens
        self.is_urgent = self.quota.has_urgent_use

    def start_if_due(self):
        """Begin to take part once the process has started."""
        self.is_frozen = self.fleet.now() < self.starts_at


class QuotaFleet(SimulatedFleet):
    """Routers of four data centres that share the quota of one workspace."""

    def __init__(self, routers, seed):
        self.size = routers
        self.used_by_step = Counter()
        super().__init__(ZONES, routers // ZONES, seed=seed, router_type=QuotaRouter)
        self.started_at = self.now()

    def step(self):
        """Return the number of steps since the start."""
        return round((self.now() - self.started_at) / STEP_S)

    def play(self, seconds, demand, tokens, names=None):
        """Let callers ask for a multiple of the rate at some routers.

        Parameters
        ----------
        demand : float
            Tokens that all callers ask for, relative to the rate of the quota.
        tokens : int
            Size of a request.
        names : list of str or None
            Routers that get the requests; ``None`` for all.
        """
        asked = set(names or self.router_by_name)
        mean = demand * RATE * STEP_S / tokens / len(asked)

        def use(router):
            router.start_if_due()
            if router.name in asked and not router.is_frozen:
                for _ in range(self._draw(mean)):
                    router.ask(tokens)

        self.run(seconds, use)

    def restart_all(self):
        """Kill all routers and start them again at once."""
        for name in list(self.router_by_name):
            self.restart(name)

    def used_between(self, start_s, end_s):
        """Return the tokens used in an interval since the start."""
        return _sum_between(self.used_by_step, start_s, end_s)

    def most_in_a_window(self, start_s=0.0):
        """Return the largest use in any window as a share of what is allowed.

        Parameters
        ----------
        start_s : float
            Start of the first window.
        """
        last = max(self.used_by_step, default=0)
        window = round(WINDOW_S / STEP_S)
        return (
            max(
                sum(self.used_by_step[step] for step in range(first, first + window))
                for first in range(round(start_s / STEP_S), last + 1)
            )
            / ALLOWED
        )

    def _draw(self, mean):
        """Return a number from the Poisson distribution."""
        limit, product, number = math.exp(-mean), self.random.random(), 0
        while product > limit:
            product *= self.random.random()
            number += 1
        return number


def _sum_between(amount_by_step, start_s, end_s):
    steps = range(round(start_s / STEP_S), round(end_s / STEP_S))
    return sum(amount_by_step[step + 1] for step in steps)
