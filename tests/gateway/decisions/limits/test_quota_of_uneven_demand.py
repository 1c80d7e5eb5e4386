"""Quotas of workspaces whose callers ask now one router and now another."""

from __future__ import annotations

import pytest

from tests.traffic.quota_fleet import RATE, STEP_S, QuotaFleet

SETTLED_S = 9  # from the start of the routers until they use the overdraft
TOKENS = 600
STAYS_S = 1  # the additional demand at one router
MOVES = 12
DEMAND, ADDITIONAL = 0.3, 0.4  # at all routers and at one, relative to the rate
OWED_SHARE = 0.9  # of what callers ask for within the rate


class Callers:
    """Ask all routers, and one of them more than the others."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.hot = ""
        self.asked = self.used = 0

    def ask(self, router):
        share = DEMAND / self.fleet.size + ADDITIONAL * (router.name == self.hot)
        used = router.used
        router.start_if_due()
        for _ in range(self.fleet._draw(share * RATE * STEP_S / TOKENS)):
            router.ask(TOKENS)
            self.asked += TOKENS
        self.used += router.used - used


@pytest.mark.parametrize("routers", [12, 68])
def test_demand_that_moves_between_routers_within_the_rate_is_served(routers):
    """Guards against a rise at one router that is taken for one of the fleet."""
    fleet = QuotaFleet(routers, seed=1)
    fleet.play(SETTLED_S, DEMAND, TOKENS)
    names = sorted(fleet.router_by_name)
    callers = Callers(fleet)
    for move in range(MOVES):
        callers.hot = names[move * 7 % routers]
        fleet.run(STAYS_S, callers.ask)
    assert callers.asked <= RATE * MOVES * STAYS_S
    assert callers.used >= OWED_SHARE * callers.asked
