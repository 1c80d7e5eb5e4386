"""Plans of faults: the same for a seed, overlapping, one of a scope at a target."""

from __future__ import annotations

from itertools import combinations

import pytest

from benchmarks.soak.kinds import KIND_BY_NAME, Scope
from benchmarks.soak.plan import Planner, names_of_kinds, scope_of

ROUTERS = ["front-1", "front-2", "front-3"]
ENGINES = ["e1", "e2", "e3"]
UPSTREAMS = ["d1", "d2", *ENGINES]
SECONDS = 120.0


def draw(seed):
    planner = Planner(seed, ROUTERS, UPSTREAMS, ENGINES, list(KIND_BY_NAME))
    return planner.draw(SECONDS)


def overlaps(first, second):
    return first.start_s < second.end_s and second.start_s < first.end_s


def test_the_same_seed_gives_the_same_faults():
    assert draw(1) == draw(1)
    assert draw(1) != draw(2)


def test_a_seed_keeps_its_first_faults_when_a_kind_is_added():
    kinds = list(KIND_BY_NAME)
    fewer = Planner(1, ROUTERS, UPSTREAMS, ENGINES, kinds[:1]).draw(SECONDS)
    assert fewer[0] in draw(1)


def test_every_kind_is_drawn_and_faults_overlap():
    faults = draw(1)
    assert {fault.kind for fault in faults} == set(KIND_BY_NAME)
    assert any(overlaps(*pair) for pair in combinations(faults, 2))


@pytest.mark.parametrize("seed", range(5))
def test_faults_of_a_scope_do_not_overlap_at_a_target(seed):
    for first, second in combinations(draw(seed), 2):
        if (scope_of(first), first.target) == (scope_of(second), second.target):
            assert not overlaps(first, second)


@pytest.mark.parametrize("seed", range(5))
def test_a_router_is_left_alone_at_any_time(seed):
    faults = [fault for fault in draw(seed) if scope_of(fault) is Scope.ROUTER]
    for fault in faults:
        targets = {item.target for item in faults if overlaps(item, fault)}
        assert targets < set(ROUTERS)


def test_an_unknown_kind_is_named():
    with pytest.raises(ValueError, match="no kind 'flood'"):
        names_of_kinds("killed router,flood")
