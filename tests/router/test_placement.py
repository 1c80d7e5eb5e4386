"""Tests of placement with live routers: starts, refusals and stale orders."""

from __future__ import annotations

import json
from datetime import UTC, datetime, timedelta

import pytest

from banyansail.standins.engine_state import EngineOptions
from tests.live import LiveSite
from tests.processes import call, wait_until

PLACEMENT = "placement advisor-llm replicas=4 floor=1 zone-share=50%  # ewan: cost"
OFFERS = [
    {"zone": zone, "class": kind, "price": price, "reclaims_per_hour": risk}
    for zone, kind, price, risk in (
        ("glasgow", "reclaimable", 0.3, 0.1),
        ("edinburgh", "reclaimable", 0.4, 0.1),
        ("aberdeen", "reclaimable", 0.9, 0.1),
        ("glasgow", "on-demand", 2.0, 0.0),
    )
]


@pytest.fixture
def site():
    with LiveSite() as live:
        yield live


def instances(live: LiveSite) -> list[tuple[str, str]]:
    found = live.site.platform_state.instance_by_id.values()
    return sorted((item["zone"], item["class"]) for item in found)


def test_instances_are_requested_within_the_bounds(site):
    site.site.platform_state.offers = OFFERS
    site.start("r0:glasgow", "r1:edinburgh", "r2:aberdeen")
    site.apply(PLACEMENT)
    wait_until(lambda: len(instances(site)) == 4)
    found = instances(site)
    assert sum(kind == "on-demand" for _, kind in found) == 1
    assert max(sum(zone == other for other, _ in found) for zone, _ in found) <= 2
    assert ("aberdeen", "reclaimable") not in found


def test_refused_starts_go_to_the_next_choice(site):
    site.site.platform_state.offers = OFFERS
    site.platform_faults(refuse_zone="edinburgh")
    site.start("r0:glasgow", "r1:edinburgh")
    site.apply(PLACEMENT)
    wait_until(lambda: len(instances(site)) == 4)
    assert ("aberdeen", "reclaimable") in instances(site)
    assert not any(zone == "edinburgh" for zone, _ in instances(site))


def test_stale_order_of_an_old_lease_holder_is_corrected(site):
    """The router corrects a stale order that an engine without fencing accepted."""
    options = [EngineOptions(checks_fencing=False) for _ in range(2)]
    for number, option in enumerate(options):
        site.engine(f"e{number}", "glasgow", option)
    site.start("r0:glasgow", "r1:glasgow")
    start = datetime.now(UTC) + timedelta(hours=1)
    deadline = start + timedelta(hours=1)
    site.apply(
        PLACEMENT,
        f"rollout advisor-llm from=v1 to=v2 start={start.isoformat()} "
        f"deadline={deadline.isoformat()}  # ewan: later",
    )
    port = site.site.upstream_by_name["e0"].standin.address.port
    stale = {"fencing": 1, "wanted": {"version": "v2"}}
    assert call(port, "POST", "/orders", stale)[0] == 200
    wait_until(lambda: site.state("e0").wanted == {"version": "v1"}, 40)
    assert site.state("e0").fencing_token >= 1


def test_engine_that_checks_fencing_refuses_a_stale_order(site):
    engine = site.engine("e0", "glasgow", EngineOptions(checks_fencing=True))
    port = engine.standin.address.port
    new = {"fencing": 9, "wanted": {"version": "v2"}}
    old = {"fencing": 8, "wanted": {"version": "v1"}}
    assert call(port, "POST", "/orders", new)[0] == 200
    assert call(port, "POST", "/orders", old)[0] == 409
    assert json.loads(call(port, "GET", "/load")[2])["wanted"] == {"version": "v2"}
