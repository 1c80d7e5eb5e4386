"""Requests for a service whose upstreams are cold, and which of them count as cold."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest

from banyansail.gateway.decisions.queue.dispatch import HEARING_TIME
from banyansail.gateway.request_types import Cause
from banyansail.gateway.site import ServiceSpec, build_site
from tests.gateway.builders import seconds, upstream
from tests.gateway.decisions.queue.test_dispatch import DispatcherHarness

COLD_START = seconds(8)
EPOCH = datetime.fromtimestamp(0, UTC)


class ColdHarness(DispatcherHarness):
    """Dispatcher of a service with cold upstreams; none is known at first."""

    def __init__(self, per_s=2.0):
        self.per_s = per_s
        super().__init__(upstreams=0)

    def apply(self, upstreams):
        spec = ServiceSpec(
            "depot", "/", 100, cold_start=COLD_START, cold_per_s=self.per_s
        )
        cold_site = build_site(1, [], [spec], None, None)
        self.dispatcher.apply_upstreams(upstreams, cold_site)

    def start_upstream(self, name="u1", age_s=1.0, **options):
        started_at = (self.clock.now() - EPOCH) / timedelta(milliseconds=1)
        started = upstream(
            name, slots=10, started_at=int(started_at - age_s * 1000), **options
        )
        self.apply([started])
        return self.dispatcher.load_of(name)

    def left(self, load):
        return load.cold.left(self.clock.monotonic())


def test_an_upstream_that_starts_during_traffic_is_cold():
    harness = ColdHarness()
    harness.clock.advance(10)
    harness.dispatcher.record_traffic()
    assert harness.left(harness.start_upstream(age_s=5)) == seconds(5)
    assert harness.left(harness.start_upstream("u2", age_s=60)) == seconds(0)


def test_an_upstream_that_was_known_before_traffic_is_warm():
    """Guards against a fleet that throttles all upstreams when its day begins."""
    harness = ColdHarness()
    load = harness.start_upstream()
    harness.clock.advance(HEARING_TIME.total_seconds())
    harness.request(1)
    assert harness.left(load) == seconds(0)
    assert harness.slots()


def test_a_router_restarted_during_traffic_finds_young_upstreams_cold():
    """Guards against a router that takes for old what started shortly before it."""
    harness = ColdHarness()
    load = harness.start_upstream()
    harness.clock.advance(1)
    harness.dispatcher.record_traffic()
    assert harness.left(load) == seconds(7)


def test_a_new_incarnation_is_cold_again():
    harness = ColdHarness()
    harness.start_upstream(age_s=60)
    harness.clock.advance(20)
    harness.dispatcher.record_traffic()
    assert harness.left(harness.start_upstream(age_s=0)) == COLD_START


def test_a_service_without_an_allowance_has_no_cold_upstreams():
    harness = ColdHarness(per_s=0.0)
    harness.dispatcher.record_traffic()
    load = harness.start_upstream(is_cold=True, cold_left=seconds(5))
    assert harness.left(load) == seconds(0)


@pytest.mark.parametrize("part", [0, 2])
def test_requests_beyond_the_part_wait_or_are_rejected_with_a_time_to_retry(part):
    harness = ColdHarness()
    load = harness.start_upstream(cold_left=seconds(5))
    load.cold.set_part(part, harness.clock.monotonic())
    for number in range(12):
        harness.request(number, time_s=1.0)
    assert len(harness.slots()) == part
    rejections = harness.rejections().values()
    assert rejections
    assert {item.cause for item in rejections} == {Cause.LIMITED}
    assert all(item.status == 503 and item.retry_after for item in rejections)


def test_requests_beyond_the_part_go_to_warm_upstreams():
    harness = ColdHarness()
    harness.dispatcher.record_traffic()
    cold = upstream("cold", slots=10, cold_left=seconds(5))
    harness.apply([cold, replace(cold, id="warm", started_at=1, cold_left=seconds(0))])
    harness.dispatcher.load_of("cold").cold.set_part(1, harness.clock.monotonic())
    for number in range(11):
        harness.request(number)
    ids = [slot.load.upstream.id for _, slot in harness.slots()]
    assert (ids.count("cold"), ids.count("warm")) == (1, 10)
