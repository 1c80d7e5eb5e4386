"""Speeds of upstreams: what counts, and that noise and too few samples do not."""

from __future__ import annotations

import math
from random import Random

import pytest

from banyansail.gateway.decisions.upstreams.speed import (
    MIN_SAMPLES,
    FleetSpeeds,
    SpeedEstimate,
)
from banyansail.traffic.speed_evidence import MAX_AGE, SpeedEvidence, add_speeds
from tests.gateway.builders import seconds

NOW = seconds(100)
EXPECTED = seconds(0.1)


def sampled(speed, count, *, until=NOW, interval=0.1, noise=0.0, random=None):
    """Return the estimate of an upstream after `count` answers up to a time."""
    estimate = SpeedEstimate()
    for number in range(count):
        at = until - seconds(interval * (count - 1 - number))
        factor = random.lognormvariate(0, noise) if noise else 1.0
        estimate.record(EXPECTED, EXPECTED / speed * factor, at)
    return estimate


def speeds_of(own, fleet=None, now=NOW):
    speeds = FleetSpeeds(own, fleet or {}, now)
    return {name: speeds.speed(name) for name in own}


def test_upstreams_of_speeds_1_and_2_are_told_apart():
    own = {"slow": sampled(0.5, 60), "fast": sampled(1.0, 60)}
    speeds = speeds_of(own)
    assert speeds["fast"] / speeds["slow"] == pytest.approx(2, rel=0.3)
    assert speeds["slow"] < 1 < speeds["fast"]


def test_fewer_samples_than_the_minimum_change_no_speed():
    own = {"slow": sampled(0.3, MIN_SAMPLES - 1), "other": sampled(1.0, 60)}
    assert speeds_of(own)["slow"] == 1


def test_an_expectation_that_is_wrong_for_all_upstreams_changes_no_speed():
    own = {name: sampled(0.4, 60) for name in "abcd"}
    assert set(speeds_of(own).values()) == {1.0}


def test_noise_of_equal_upstreams_rarely_changes_a_speed():
    """Times vary by half of their mean; the speeds of all upstreams are equal."""
    random = Random(3)
    counted = total = 0
    for count in (8, 12, 20, 40, 80):
        for _ in range(20):
            own = {
                str(number): sampled(1.0, count, interval=0.5, noise=0.5, random=random)
                for number in range(10)
            }
            counted += sum(speed != 1 for speed in speeds_of(own).values())
            total += len(own)
    assert counted <= 0.1 * total


def test_a_passing_difference_counts_soon_and_ends_soon():
    """An upstream that was slow for 2 s must not be avoided for half a minute."""
    slowed = sampled(1.0, 300, until=NOW - seconds(2))
    for number in range(20):
        slowed.record(EXPECTED, EXPECTED * 4, NOW - seconds(2 - number * 0.1))
    other = sampled(1.0, 320)
    assert speeds_of({"slowed": slowed, "other": other})["slowed"] < 0.6
    for number in range(50):
        slowed.record(EXPECTED, EXPECTED, NOW + seconds(number * 0.1))
    later = speeds_of({"slowed": slowed, "other": other}, now=NOW + seconds(5))
    assert later["slowed"] == 1


def test_old_evidence_counts_no_more():
    own = {"slow": sampled(0.3, 60), "other": sampled(1.0, 60)}
    assert speeds_of(own, now=NOW + MAX_AGE + seconds(1))["slow"] == 1


def test_a_router_without_samples_knows_what_the_fleet_knows():
    own = {"slow": SpeedEstimate(), "fast": SpeedEstimate()}
    fleet = {
        "slow": SpeedEvidence(40, 40 * math.log(0.5), seconds(1)),
        "fast": SpeedEvidence(40, 0.0, seconds(1)),
    }
    speeds = speeds_of(own, fleet)
    assert speeds["slow"] < 0.8 < 1.2 < speeds["fast"]


def test_a_new_incarnation_starts_at_speed_1():
    fleet = {
        "u1@1": SpeedEvidence(40, 40 * math.log(0.3), seconds(1)),
        "u2@1": SpeedEvidence(40, 0.0, seconds(1)),
    }
    own = {"u1@2": SpeedEstimate(), "u2@1": SpeedEstimate()}
    assert speeds_of(own, fleet)["u1@2"] == 1


def test_evidence_of_the_fleet_that_includes_this_router_is_not_counted_twice():
    estimate = sampled(0.5, 6)
    own = {"slow": estimate, "other": sampled(1.0, 60)}
    fleet = {"slow": estimate.lasting(NOW)}
    assert speeds_of(own, fleet)["slow"] == 1


def test_merged_evidence_is_weighted_by_samples_and_decayed_by_age():
    total = {"a": SpeedEvidence(10, 10.0, seconds(0))}
    add_speeds(total, {"a": SpeedEvidence(10, -10.0, seconds(10))}, seconds(15))
    merged = total["a"]
    assert 10 < merged.samples < 20
    assert 0 < merged.mean_log < 1
    assert merged.age == seconds(0)
    add_speeds(total, {"a": SpeedEvidence(99, -99.0, seconds(20))}, seconds(15))
    assert total["a"] == merged
