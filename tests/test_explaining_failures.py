"""Follows docs/OPERATIONS.md from the id of a failed request to its cause."""

from __future__ import annotations

import http.client
import subprocess
import sys
from pathlib import Path

import eliot
import pytest

from tests.gateway.live_gateway import HOST, KEY, LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until

PAGE = (Path(__file__).parent.parent / "docs" / "OPERATIONS.md").read_text()


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "router.log"
    with open(path, "ab", buffering=0) as file:
        destination = eliot.FileDestination(file=file)
        eliot.add_destinations(destination)
        yield path
        eliot.remove_destination(destination)


@pytest.fixture
def live(log):
    with LiveGateway() as gateway:
        yield gateway


def explain(
    log: Path, request_id: str, *options: str, uses_stdin: bool = False
) -> list[str]:
    command = [sys.executable, "-m", "banyansail", "explain", request_id, *options]
    if uses_stdin:
        done = subprocess.run(
            [*command, "--log=-"],
            input=log.read_text(),
            capture_output=True,
            text=True,
            check=False,
        )
    else:
        done = subprocess.run(
            [*command, f"--log={log}"], capture_output=True, text=True, check=False
        )
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()


def section(title: str) -> str:
    """Return a section of the page."""
    return PAGE.partition(f"## {title}")[2].partition("\n## ")[0]


def find(lines: list[str], *words: str) -> str:
    found = [line for line in lines if all(word in line for word in words)]
    assert found, f"no line with {words} in {lines}"
    return found[0]


def test_an_order_that_ended_502(live, log):
    live.set_faults("d", cuts_before_answer=True)
    assert live.call("POST", "/orders/1", b"x")[0] == 502
    lines = explain(log, "a-orders-1", uses_stdin=True)
    route = find(lines, " route ", "upstream=")
    upstream = route.partition("upstream=")[2].partition(",")[0]
    find(lines, " reject ", "status=502", "cause=upstream_failed", upstream)
    page = section("An order that ended 502")
    assert "upstream_failed" in page
    assert "reject" in page


def test_an_order_whose_upstream_answered_a_failure(live, log):
    live.set_faults("d", fails=True)
    assert live.call("POST", "/orders/2", b"x")[0] == 500
    find(explain(log, "a-orders-2"), "pass_failure_on", "status=500", "upstream=")
    assert "pass_failure_on" in section("An order that ended 502")


def test_a_stream_that_broke_off(live, log):
    live.set_faults("e", cuts_at_event=3)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        live.call("POST", "/draft/1", b"notes")
    lines = explain(log, "a-draft-1")
    find(lines, " reject ", "cause=upstream_failed", "is_begun=True")
    assert "is_begun" in section("A stream that broke off")


def test_a_request_refused_with_429(live, log):
    tenants = [
        {"name": "clerks", "apiKeys": [KEY], "ratePerS": 0.01, "burst": 1},
    ]
    in_reactor(
        live.store.state.put, "config", "main", spec=config_body(2, tenants=tenants)
    )
    wait_until(lambda: live.gateway.site.version == 2)
    statuses = (live.call("GET", f"/stock/{n}", Host=HOST)[0] for n in range(600))
    refused = next(n for n, status in enumerate(statuses) if status == 429)
    lines = explain(log, f"a-stock-{refused}", "--around=60")
    find(lines, " reject ", "cause=over_quota", "left,")
    find(lines, "  ", "config_in_force", "version=2")
    assert "over_quota" in section("A request refused with 503 or 429")


def test_a_request_refused_with_503(live, log):
    live.set_faults("d", is_full=True)
    assert live.call("POST", "/orders/3", b"x")[0] == 503
    find(explain(log, "a-orders-3"), " reject ", "status=503", "cause=")


def test_events_of_an_upstream_come_with_its_request(live, log):
    address = live.running_by_name["d1"].address
    in_reactor(live.announce, "d1", address, "draining")
    wait_until(lambda: live.gateway.dispatcher.load_of("d1").upstream.is_leaving)
    in_reactor(live.running_by_name["d2"].kill)
    assert live.call("POST", "/orders/4", b"x")[0] == 503
    lines = explain(log, "a-orders-4")
    find(lines, " reject ", "status=503", "upstream=d2")
    find(lines, "  ", "upstreams_changed", "leaving=['d1']")
    page = section("A request refused with 503 or 429")
    assert "upstreams_changed" in page
