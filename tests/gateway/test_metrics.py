"""Metrics of upstreams: what an operator sees of speed, room and work ahead."""

from __future__ import annotations

from random import Random

from banyansail.gateway.decisions.upstreams.upstream_load import (
    PrefillRate,
    UpstreamLoad,
)
from banyansail.gateway.metrics import GatewayMetrics
from tests.gateway.builders import upstream


def test_upstreams_are_shown_while_they_are_known():
    """A removed upstream must not stay on the page with its last figures."""
    metrics = GatewayMetrics()
    load = UpstreamLoad(upstream("u1", slots=4), 1000, PrefillRate(), Random(1))
    load.speed, load.peer_in_flight, load.peer_pending_prefill_tokens = 0.5, 3, 700
    metrics.set_upstreams([load])
    page = metrics.render().decode()
    assert 'banyansail_upstream_speed{upstream="u1"} 0.5' in page
    assert 'banyansail_upstream_room{upstream="u1"} 1.0' in page
    assert 'banyansail_upstream_work_ahead_tokens{upstream="u1"} 700.0' in page
    metrics.set_upstreams([])
    assert "u1" not in metrics.render().decode()
