"""Placing: what may never be chosen, and the load that many routers make together."""

from __future__ import annotations

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.choice import choose
from banyansail.gateway.upstream_load import ReadPace, UpstreamLoad
from tests.gateway.builders import prompt, seconds, upstream

NOW = seconds(100)
ZONES = ("glasgow", "edinburgh")


def loads_of(count, slots=4, kv_tokens=100_000):
    pace = ReadPace()
    return [
        UpstreamLoad(
            upstream(f"u{number}", zone=ZONES[number % 2], slots=slots), kv_tokens, pace
        )
        for number in range(count)
    ]


def pick(loads, asked=None, random=None, **options):
    return choose(
        loads, asked, zone="glasgow", now=NOW, random=random or Random(1), **options
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
            load.suspect(NOW)
        if is_excluded:
            excluded.add(load.upstream.id)
    able = [
        load
        for load in loads
        if load.upstream.id not in excluded
        and load.in_flight + load.peer_in_flight < load.upstream.slots
    ]
    trusted = [load for load in able if not load.is_suspect(NOW)]
    chosen = pick(loads, prompt() if is_engine else None, excluded=frozenset(excluded))
    if not able:
        assert chosen is None
    else:
        assert chosen.load in (trusted or able)


def test_routers_that_do_not_talk_choose_one_engine_for_a_prefix():
    for subject in "abcdefgh":
        asked = prompt(subject, tokens=17_000, shared=13_000)
        chosen = {
            pick(loads_of(12, slots=64), asked, Random(seed)).load.upstream.id
            for seed in range(9)
        }
        assert len(chosen) == 1


def test_an_engine_that_fails_or_is_silent_loses_its_preference():
    asked = prompt("a", tokens=17_000, shared=13_000)
    loads = loads_of(6, slots=64)
    preferred = pick(loads, asked).load
    for _ in range(20):
        preferred.observe(NOW, ok=False)
    assert pick(loads, asked).load is not preferred
    loads = loads_of(6, slots=64)
    silent = next(load for load in loads if load.upstream.id == preferred.upstream.id)
    silent.start(1, 0, NOW - seconds(5))
    assert pick(loads, asked).load is not silent


def play_prompts(routers, engines, requests, choose_at):
    """Return the tokens that engines read, and how often the busiest was chosen.

    Routers send prompts about a few subjects; each knows its own sends only.
    """
    random = Random(7)
    own_loads = [loads_of(engines, slots=64) for _ in range(routers)]
    truth = loads_of(engines)
    read = 0
    chosen_count = Counter()
    for number in range(requests):
        subject = f"s{int(random.paretovariate(0.8)) % 40}"
        asked = prompt(subject, 17_000, 13_300, request=f"q{number}")
        loads = own_loads[number % routers]
        load = choose_at(loads, asked, random)
        load.cache.record(asked)
        index = loads.index(load)
        chosen_count[index] += 1
        read += truth[index].uncached(asked)
        truth[index].cache.record(asked)
    return read, max(chosen_count.values()) / (requests / engines)


def test_many_routers_read_a_prefix_far_less_often_than_by_chance():
    """Nine routers, twelve engines, forty subjects of which a few are asked most."""
    read, _ = play_prompts(9, 12, 600, lambda *args: pick(*args).load)
    by_chance, _ = play_prompts(
        9, 12, 600, lambda loads, asked, random: random.choice(loads)
    )
    assert read <= 0.6 * by_chance


def test_a_plain_service_is_loaded_evenly():
    loads = loads_of(4, slots=6, kv_tokens=0)
    random = Random(3)
    counts = Counter()
    for token in range(20):
        load = choose(loads, None, zone="none", now=NOW, random=random).load
        load.start(token, 0, NOW)
        counts[load.upstream.id] += 1
    assert max(counts.values()) - min(counts.values()) <= 1
