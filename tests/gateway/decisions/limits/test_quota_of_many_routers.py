"""Quotas of workspaces whose callers reach many routers at the same time."""

from __future__ import annotations

import pytest

from tests.traffic.quota_fleet import RATE, TOLERATED, TOLERATED_SHARE, QuotaFleet

SETTLED_S = 9  # from the start of the routers until they use the overdraft
SURGE_S = 7
OWED_S = 15
OWED_SHARE = 0.9  # of what callers ask for within the rate


def surge(routers, before, demand, tokens, names=None, seed=1):
    """Return a fleet after a surge, with the demand before it and in it."""
    fleet = QuotaFleet(routers, seed)
    fleet.play(SETTLED_S, before, tokens, names)
    fleet.play(SURGE_S, demand, tokens, names)
    return fleet


def zone_names(routers):
    """Return the routers of one data centre."""
    return [f"r0-{number}" for number in range(routers // 4)]


@pytest.mark.parametrize(
    ("routers", "before", "demand", "tokens"),
    [
        (12, 0.5, 12, 600),
        (68, 0.5, 6, 600),
        (68, 0.5, 12, 600),
        (68, 1.0, 12, 6000),
        (160, 0.5, 6, 600),
        (160, 1.0, 12, 6000),
    ],
)
def test_routers_that_hear_of_a_surge_together_keep_the_quota(
    routers, before, demand, tokens
):
    """Guards against routers that each spend all that is left at the same time."""
    assert surge(routers, before, demand, tokens).most_in_a_window() <= 1


@pytest.mark.parametrize("names", [["r0-0"], zone_names(68)], ids=["router", "zone"])
def test_a_surge_at_a_part_of_the_routers_keeps_the_quota(names):
    assert surge(68, 0.5, 12, 600, names).most_in_a_window() <= 1


@pytest.mark.parametrize("demand", [4, 12])
def test_routers_that_restart_together_in_a_surge_keep_the_quota(demand):
    """Guards against a restart that forgets what was spent shortly before."""
    fleet = QuotaFleet(68, seed=1)
    fleet.play(SETTLED_S, 0.5, 600)
    fleet.play(1.5, demand, 600)
    fleet.restart_all()
    fleet.play(6.5, demand, 600)
    assert fleet.most_in_a_window() <= 1


@pytest.mark.parametrize("tokens", [600, 6000])
def test_routers_that_know_no_demand_do_not_each_use_what_is_left(tokens):
    """Guards against a surge admitted between a restart and the second sum."""
    fleet = QuotaFleet(68, seed=1)
    fleet.play(12, 12, tokens)
    fleet.restart_all()
    fleet.play(2, 12, tokens)
    allowed = 2 * RATE * (1 + TOLERATED_SHARE) + TOLERATED
    assert fleet.used_between(12, 14) <= allowed


@pytest.mark.parametrize("demand", [0.9, 1, 6])
@pytest.mark.parametrize("names", [None, ["r0-0"], zone_names(12)], ids=str)
def test_what_is_asked_within_the_rate_is_served(names, demand):
    """Guards against a part of the quota that no router may use."""
    fleet = QuotaFleet(12, seed=1)
    fleet.play(SETTLED_S, demand, 600, names)
    fleet.play(OWED_S, demand, 600, names)
    end_s = SETTLED_S + OWED_S
    served = fleet.used_between(SETTLED_S, end_s)
    assert served >= OWED_SHARE * min(demand, 1) * RATE * OWED_S
