"""Use of measured speeds by a router's choices, with and without the setting."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from banyansail.gateway.decisions.queue.dispatch import Dispatcher
from banyansail.gateway.decisions.upstreams.choice import choose
from banyansail.gateway.sharing.speed_sharing import MAX_REPORTED, SpeedSharing
from banyansail.traffic.fleet_traffic import FleetTraffic
from tests.fakes import FakeClock
from tests.gateway.builders import seconds, site, upstream


def measured_service(*, is_active, count=4):
    """Return a dispatcher whose first upstream took twice as long as the others."""
    clock = FakeClock()
    dispatcher = Dispatcher("glasgow", clock, Random(1))
    fleet = FleetTraffic("r", clock)
    sharing = SpeedSharing(clock, dispatcher, fleet, is_active=is_active)
    dispatcher.apply_upstreams([upstream(f"u{n}") for n in range(count)], site())
    loads = dispatcher.loads()
    for load in loads:
        taken = seconds(0.2 if load.upstream.id == "u0" else 0.1)
        for _ in range(40):
            load.record_speed(seconds(0.1), taken, clock.monotonic())
    sharing.update()
    return dispatcher, sharing, clock


@pytest.mark.parametrize("is_active", [True, False])
def test_a_slow_plain_upstream_gets_fewer_requests_only_with_the_setting(is_active):
    dispatcher, _, clock = measured_service(is_active=is_active)
    random, counts = Random(2), Counter()
    for number in range(9):
        load = choose(
            dispatcher.loads(),
            None,
            zone="glasgow",
            now=clock.monotonic(),
            random=random,
        ).load
        load.start_attempt(number, 0, clock.monotonic())
        counts[load.upstream.id] += 1
    assert (counts["u0"] < min(counts[f"u{n}"] for n in (1, 2, 3))) is is_active


def test_without_the_setting_nothing_is_reported_and_all_speeds_stay_1():
    dispatcher, sharing, _ = measured_service(is_active=False)
    assert sharing.own_speeds() == {}
    assert {load.speed for load in dispatcher.loads()} == {1.0}


def test_a_report_names_a_bounded_number_of_upstreams():
    _, sharing, _ = measured_service(is_active=True, count=MAX_REPORTED + 10)
    assert len(sharing.own_speeds()) == MAX_REPORTED
