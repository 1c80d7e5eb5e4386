"""Choice of upstreams: what may never be chosen, and the load from many routers."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.upstreams.choice import choose
from banyansail.gateway.decisions.upstreams.upstream_load import (
    PrefillRate,
    UpstreamLoad,
)
from tests.gateway.builders import prompt, seconds, upstream

NOW = seconds(100)
ZONES = ("glasgow", "edinburgh")


def loads_of(count, slots=4, kv_tokens=100_000):
    prefill_rate = PrefillRate()
    return [
        UpstreamLoad(
            upstream(f"u{number}", zone=ZONES[number % 2], slots=slots),
            kv_tokens,
            prefill_rate,
            Random(number),
        )
        for number in range(count)
    ]


def pick(loads, requested=None, random=None, **options):
    return choose(
        loads, requested, zone="glasgow", now=NOW, random=random or Random(1), **options
    )


@settings(derandomize=True, max_examples=300)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 2), st.booleans(), st.booleans()),
        min_size=1,
        max_size=8,
    ),
    st.booleans(),
)
def test_full_and_excluded_upstreams_get_nothing_and_suspects_only_the_rest(
    states, is_engine
):
    loads = loads_of(len(states))
    excluded = set()
    for load, (own, others, is_suspect, is_excluded) in zip(loads, states, strict=True):
        load.in_flight, load.peer_in_flight = own, others
        if is_suspect:
            load.mark_suspect(NOW)
        if is_excluded:
            excluded.add(load.upstream.id)
    available = [
        load
        for load in loads
        if load.upstream.id not in excluded
        and load.in_flight + load.peer_in_flight < load.upstream.slots
    ]
    trusted = [load for load in available if not load.is_suspect(NOW)]
    chosen = pick(loads, prompt() if is_engine else None, excluded=frozenset(excluded))
    if not available:
        assert chosen is None
    else:
        assert chosen.load in (trusted or available)


def test_routers_choose_the_same_engine_for_a_prefix_without_communication():
    for subject in "abcdefgh":
        requested = prompt(subject, tokens=17_000, shared=13_000)
        chosen = {
            pick(loads_of(12, slots=64), requested, Random(seed)).load.upstream.id
            for seed in range(9)
        }
        assert len(chosen) == 1


def test_an_engine_that_fails_or_does_not_answer_loses_its_preference():
    requested = prompt("a", tokens=17_000, shared=13_000)
    loads = loads_of(6, slots=64)
    preferred = pick(loads, requested).load
    for _ in range(20):
        preferred.record_outcome(NOW, ok=False)
    assert pick(loads, requested).load is not preferred
    loads = loads_of(6, slots=64)
    stalled = next(load for load in loads if load.upstream.id == preferred.upstream.id)
    stalled.start_attempt(1, 0, NOW - seconds(5))
    assert pick(loads, requested).load is not stalled


def simulate_prompts(routers, engines, requests, choose_load):
    """Return the tokens prefilled by all engines, and the busiest one's relative load.

    Routers send prompts about a few subjects; each estimates the engines' caches only
    from the prompts that it sent itself.
    """
    random = Random(7)
    own_loads = [loads_of(engines, slots=64) for _ in range(routers)]
    actual_loads = loads_of(engines)
    prefilled = 0
    chosen_count = Counter()
    for number in range(requests):
        subject = f"s{int(random.paretovariate(0.8)) % 40}"
        requested = prompt(subject, 17_000, 13_300, request=f"q{number}")
        loads = own_loads[number % routers]
        load = choose_load(loads, requested, random)
        load.cache.record(requested)
        index = loads.index(load)
        chosen_count[index] += 1
        prefilled += actual_loads[index].uncached_tokens(requested)
        actual_loads[index].cache.record(requested)
    return prefilled, max(chosen_count.values()) / (requests / engines)


def test_many_routers_read_a_prefix_far_less_often_than_by_chance():
    """Nine routers, twelve engines, forty subjects with a skewed distribution."""
    prefilled, _ = simulate_prompts(9, 12, 600, lambda *args: pick(*args).load)
    prefilled_by_chance, _ = simulate_prompts(
        9, 12, 600, lambda loads, requested, random: random.choice(loads)
    )
    assert prefilled <= 0.6 * prefilled_by_chance


def test_a_plain_service_is_loaded_evenly():
    loads = loads_of(4, slots=6, kv_tokens=0)
    random = Random(3)
    counts = Counter()
    for slot_number in range(20):
        load = choose(loads, None, zone="none", now=NOW, random=random).load
        load.start_attempt(slot_number, 0, NOW)
        counts[load.upstream.id] += 1
    assert max(counts.values()) - min(counts.values()) <= 1
