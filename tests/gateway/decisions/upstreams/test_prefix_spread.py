"""Preferred engines of a prefix: few for a rare one, more while many ask for it."""

from __future__ import annotations

from collections import Counter
from random import Random

from banyansail.gateway.decisions.upstreams.choice import ServiceDemand, choose
from banyansail.gateway.decisions.upstreams.peer_demand import PeerDemand
from banyansail.gateway.decisions.upstreams.prefix_spread import (
    MAX_LOAD_FACTOR,
    MAX_PREFIXES,
    PrefixSpread,
)
from tests.gateway.builders import prompt, seconds
from tests.gateway.decisions.upstreams.test_choice import loads_of

NOW = seconds(100)


def spread_with_hot_prefix(until=NOW):
    """Return the demand when a quarter of 4 requests a second has one prefix."""
    spread = PrefixSpread()
    for number in range(80):
        key = "hot" if number % 4 == 0 else f"rare-{number % 37}"
        spread.record(key, 5000, until - seconds((80 - number) / 4))
    return spread


def test_a_rare_prefix_has_one_preferred_engine():
    spread = spread_with_hot_prefix()
    assert spread.preferred_count("never seen", 70, NOW) == 1
    spread.record("new", 17_000, NOW)
    assert spread.preferred_count("new", 70, NOW) == 1


def test_a_prefix_with_a_quarter_of_the_work_gets_as_many_as_keep_the_bound():
    spread = spread_with_hot_prefix()
    count = spread.preferred_count("hot", 70, NOW)
    assert 0.25 / count <= 1.2 * MAX_LOAD_FACTOR / 70
    assert count <= 0.35 * 70


def test_the_number_shrinks_when_the_demand_ends():
    spread = spread_with_hot_prefix()
    for number in range(160):
        spread.record(f"rare-{number % 37}", 5000, NOW + seconds(number / 4))
    assert spread.preferred_count("hot", 70, NOW + seconds(40)) == 1


def test_demand_of_many_prefixes_does_not_grow_without_bound():
    spread = PrefixSpread()
    for number in range(3 * MAX_PREFIXES):
        spread.record(f"p{number}", 100, NOW + seconds(number / 100))
    assert len(spread._demand_by_key) <= MAX_PREFIXES


def test_routers_share_the_preferred_engines_of_a_hot_prefix():
    """Each router knows only its own requests; the busiest engine is near the bound."""
    requested = prompt("hot", 17_000, 13_300)
    counts = Counter()
    for router in range(20):
        loads = loads_of(20, slots=64)
        peers = PeerDemand()
        peers.record_rate(8.0, NOW)
        demand = ServiceDemand(peers, spread_with_hot_prefix())
        for number in range(10):
            chosen = choose(
                loads,
                requested,
                zone="glasgow",
                now=NOW,
                random=Random(router * 100 + number),
                demand=demand,
            )
            counts[chosen.load.upstream.id] += 1
    busiest = [count for _, count in counts.most_common(5)]
    assert busiest[0] <= 0.35 * 200
    # A few requests avoid the wait behind those that others have probably assigned.
    assert sum(busiest) >= 0.85 * 200
