"""Slots of brittle upstreams, divided among the routers of a fleet."""

from __future__ import annotations

import pytest

from banyansail.fleet.ranking import rank_names
from banyansail.gateway.decisions.limits.slot_share import divide_slots


def shares(routers, upstreams, slots):
    names = [f"r{number}" for number in range(routers)]
    slots_by_upstream = {f"u{number}@1": slots for number in range(upstreams)}
    return [divide_slots(slots_by_upstream, name, names) for name in names]


@pytest.mark.parametrize("routers", [1, 4, 6])
def test_all_slots_are_divided_and_none_twice(routers):
    for upstream in ("u0@1", "u1@1", "u2@1", "u3@1"):
        assert sum(part[upstream] for part in shares(routers, 4, 6)) == 6


@pytest.mark.parametrize("routers", [9, 20, 67, 195])
def test_only_routers_without_a_part_use_a_slot_more(routers):
    names = [f"r{number}" for number in range(routers)]
    with_part = {
        name
        for number in range(4)
        for name in rank_names(f"slots/u{number}@1", names)[:6]
    }
    used = sum(sum(part.values()) for part in shares(routers, 4, 6))
    assert used == 4 * 6 + routers - len(with_part)


@pytest.mark.parametrize("routers", [9, 67, 195])
def test_each_router_may_use_a_slot(routers):
    assert all(sum(part.values()) >= 1 for part in shares(routers, 4, 6))


def test_nothing_is_divided_without_brittle_upstreams():
    assert divide_slots({}, "r1", ["r1", "r2"]) == {}
