"""Speeds of upstreams in reports and sums: who learns them, and for how long."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.traffic.report import TrafficReport, TrafficSum
from banyansail.traffic.speed_evidence import SpeedEvidence
from banyansail.wire.traffic_codec import (
    decode_report,
    decode_sum,
    encode_report,
    encode_sum,
)
from tests.traffic.simulated_fleet import SimulatedFleet

SLOW = "e1@5"
EVIDENCE = SpeedEvidence(4, -2.0, timedelta(0))


def measuring_fleet(**options):
    """Return a fleet each of whose routers has some samples of one upstream."""
    fleet = SimulatedFleet(**options)
    for router in fleet.router_by_name.values():
        router.speeds[SLOW] = EVIDENCE
    return fleet


def known_samples(router):
    evidence = router.known.speeds().get(SLOW)
    return evidence.samples if evidence else 0


def test_speeds_keep_their_count_mean_and_age_on_the_wire():
    speeds = {SLOW: SpeedEvidence(8.4, -4.2, timedelta(seconds=1.5))}
    report = decode_report(encode_report(TrafficReport(speeds=speeds)))
    _, traffic_sum = decode_sum(encode_sum(TrafficSum(speeds=speeds)))
    for decoded in (report.speeds[SLOW], traffic_sum.speeds[SLOW]):
        assert decoded.samples == 8
        assert decoded.mean_log == pytest.approx(-0.5)
        assert decoded.age == timedelta(seconds=1.5)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_every_router_learns_the_speeds_that_all_measured(loss):
    fleet = measuring_fleet(loss=loss)
    fleet.run(6)
    for router in fleet.router_by_name.values():
        assert known_samples(router) > 0.7 * 15 * EVIDENCE.samples
        assert router.known.speeds()[SLOW].mean_log == pytest.approx(-0.5)


def test_a_restarted_router_that_measured_nothing_learns_the_speeds_within_2_s():
    fleet = measuring_fleet()
    fleet.run(4)
    fleet.restart("r0-3")
    assert known_samples(fleet.router_by_name["r0-3"]) == 0
    fleet.run(2)
    assert known_samples(fleet.router_by_name["r0-3"]) > 40


def test_a_cut_off_data_centre_uses_its_own_samples_and_no_old_ones_of_others():
    fleet = measuring_fleet()
    fleet.run(4)
    fleet.is_cut = lambda sender, receiver: (
        (sender.zone == "z0") != (receiver.zone == "z0")
    )
    fleet.run(40)
    for router in fleet.router_by_name.values():
        count = 5 if router.zone == "z0" else 10
        assert known_samples(router) == pytest.approx(count * EVIDENCE.samples, rel=0.1)


def test_a_router_that_hears_no_other_drops_their_speeds_after_half_a_minute():
    fleet = measuring_fleet()
    fleet.run(4)
    fleet.is_cut = lambda sender, receiver: True
    fleet.run(25)
    assert 0 < known_samples(fleet.router_by_name["r0-0"]) < 60
    fleet.run(10)
    counts = {known_samples(router) for router in fleet.router_by_name.values()}
    # A router that is alone sums up its own reports.
    assert max(counts) < 1.1 * EVIDENCE.samples
