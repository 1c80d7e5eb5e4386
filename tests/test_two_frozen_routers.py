"""Two routers that are frozen at once and wake after others went on."""

from __future__ import annotations

import json
import signal
import threading
import time
from datetime import UTC, datetime, timedelta

import pytest

from tests.processes import Programs, call, completion, wait_for_http, wait_until
from tests.test_killed_and_frozen_routers import COMPLETIONS, Site

LONGER_THAN_LIVE_S = 16
FROZEN = ("r0", "r1")


@pytest.fixture
def site(tmp_path):
    with Programs(tmp_path) as programs:
        yield Site(programs)


def add_third_router(site: Site) -> None:
    started = site.programs.start_router("r2", site.platform, peers=[site.seed])
    site.ports["r2"], _, site.admin["r2"] = started
    for admin in site.admin.values():
        wait_until(lambda admin=admin: site.live_members(admin) == 3)


def freeze(site: Site, number: signal.Signals = signal.SIGSTOP) -> None:
    for name in FROZEN:
        site.programs.signal(name, number)


def test_order_in_the_hands_of_two_frozen_routers_runs_once(site):
    add_third_router(site)
    site.faults(site.service, delay_s=1.5)
    first = site.order_in_background("r0")
    time.sleep(0.5)
    second = site.order_in_background("r1")
    time.sleep(0.3)
    freeze(site)
    status, headers, _ = site.order("r2")
    assert status == 200 or headers["x-ran"] == "unknown"
    time.sleep(LONGER_THAN_LIVE_S)
    assert site.effects() == {"k": 1}
    freeze(site, signal.SIGCONT)
    for thread in (first, second):
        thread.join(15)
    for router in ("r0", "r1", "r2"):
        status, headers, _ = site.order(router)
        assert status == 200 or headers["x-ran"] in ("unknown", "ran")
    assert site.effects() == {"k": 1}


@pytest.mark.parametrize("platform_delay_s", [0.0, 0.7])
def test_both_routers_frozen_while_a_move_is_about_to_be_done(site, platform_delay_s):
    """An operator takes it back meanwhile; what is stated first stands for good."""
    deadline = datetime.now(UTC) + timedelta(seconds=6)
    second = site.programs.start_engine("e2", "--version-name=v2", "--token-ms=2")
    wait_for_http(second, "/health")
    site.begin_move(second, deadline)
    is_over = threading.Event()
    callers = [
        threading.Thread(target=ask_on, args=(site, name, is_over)) for name in FROZEN
    ]
    for caller in callers:
        caller.start()
    site.faults(site.platform, delay_s=platform_delay_s)
    while datetime.now(UTC) < deadline:
        time.sleep(0.05)
    freeze(site)
    site.faults(site.platform, delay_s=0.0)
    taken_back = site.programs.run_cli(
        "rollout",
        "take-back",
        "advisor-llm",
        f"--platform=127.0.0.1:{site.platform}",
        "--by=ewan",
        "--why=bills look wrong",
    )
    final = stated(site)
    assert final["state"] == ("done" if taken_back.returncode else "taken_back")
    time.sleep(2)
    freeze(site, signal.SIGCONT)
    expected = {"done": second, "taken_back": site.engine}[final["state"]]
    wait_until(lambda: engines_asked(site, second) == {expected}, 30)
    is_over.set()
    for caller in callers:
        caller.join()
    assert stated(site) == final


def ask_on(site: Site, router: str, is_over: threading.Event) -> None:
    while not is_over.is_set():
        call(site.ports[router], "POST", COMPLETIONS, completion("x", 2), timeout=60)


def stated(site: Site) -> dict[str, str]:
    done = site.programs.run_cli(
        "rollout", "status", f"--platform=127.0.0.1:{site.platform}", "--json"
    )
    return json.loads(done.stdout)[0]


def engines_asked(site: Site, second: int) -> set[int]:
    """Return the ports of the engines that the next calls go to."""
    engines = (site.engine, second)
    before = {port: requests_of(port) for port in engines}
    for number in range(20):
        router = FROZEN[number % 2]
        call(site.ports[router], "POST", COMPLETIONS, completion(f"{number}", 2))
    return {port for port in engines if requests_of(port) > before[port]}


def requests_of(engine: int) -> int:
    return json.loads(call(engine, "GET", "/counters")[2]).get("requests", 0)
