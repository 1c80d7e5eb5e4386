"""Two routers are frozen at the same time and resume after others took over."""

from __future__ import annotations

import json
import signal
import threading
import time
from datetime import UTC, datetime, timedelta

import pytest

from tests.processes import Programs, call, completion, wait_for_http, wait_until
from tests.test_killed_and_frozen_routers import COMPLETIONS, Site

BEYOND_LIVENESS_S = 16
FROZEN_ROUTERS = ("r0", "r1")


@pytest.fixture
def site(tmp_path):
    with Programs(tmp_path) as programs:
        yield Site(programs)


def add_third_router(site: Site) -> None:
    started = site.programs.start_router("r2", site.platform, peers=[site.seed])
    site.ports["r2"], _, site.admin["r2"] = started
    for admin in site.admin.values():
        wait_until(lambda admin=admin: site.live_member_count(admin) == 3)


def signal_frozen_routers(
    site: Site, signal_number: signal.Signals = signal.SIGSTOP
) -> None:
    for name in FROZEN_ROUTERS:
        site.programs.signal(name, signal_number)


def test_order_in_the_hands_of_two_frozen_routers_runs_once(site):
    add_third_router(site)
    site.set_faults(site.service, delay_s=1.5)
    first_caller = site.send_order_in_background("r0")
    time.sleep(0.5)
    second_caller = site.send_order_in_background("r1")
    time.sleep(0.3)
    signal_frozen_routers(site)
    status, headers, _ = site.send_order("r2")
    assert status == 200 or headers["x-ran"] == "unknown"
    time.sleep(BEYOND_LIVENESS_S)
    assert site.effects() == {"k": 1}
    signal_frozen_routers(site, signal.SIGCONT)
    for thread in (first_caller, second_caller):
        thread.join(15)
    for router in ("r0", "r1", "r2"):
        status, headers, _ = site.send_order(router)
        assert status == 200 or headers["x-ran"] in ("unknown", "ran")
    assert site.effects() == {"k": 1}


@pytest.mark.parametrize("platform_delay_s", [0.0, 0.7])
def test_both_routers_frozen_while_a_move_is_about_to_be_done(site, platform_delay_s):
    """Checks that the first final status of a move that is stored never changes.

    An operator reverts the move while both routers are frozen at its deadline; when
    they resume, they must not overwrite the status.
    """
    deadline = datetime.now(UTC) + timedelta(seconds=6)
    new_engine = site.programs.start_engine("e2", "--version-name=v2", "--token-ms=2")
    wait_for_http(new_engine, "/health")
    site.start_move(new_engine, deadline)
    is_stopped = threading.Event()
    callers = [
        threading.Thread(target=send_until_stopped, args=(site, name, is_stopped))
        for name in FROZEN_ROUTERS
    ]
    for caller in callers:
        caller.start()
    site.set_faults(site.platform, delay_s=platform_delay_s)
    while datetime.now(UTC) < deadline:
        time.sleep(0.05)
    signal_frozen_routers(site)
    site.set_faults(site.platform, delay_s=0.0)
    revert = site.programs.run_cli(
        "rollout",
        "take-back",
        "advisor-llm",
        f"--platform=127.0.0.1:{site.platform}",
        "--by=ewan",
        "--why=bills look wrong",
    )
    final = fetch_status(site)
    assert final["state"] == ("done" if revert.returncode else "taken_back")
    time.sleep(2)
    signal_frozen_routers(site, signal.SIGCONT)
    expected = {"done": new_engine, "taken_back": site.engine}[final["state"]]
    wait_until(lambda: called_engines(site, new_engine) == {expected}, 30)
    is_stopped.set()
    for caller in callers:
        caller.join()
    assert fetch_status(site) == final


def send_until_stopped(site: Site, router: str, is_stopped: threading.Event) -> None:
    while not is_stopped.is_set():
        call(site.ports[router], "POST", COMPLETIONS, completion("x", 2), timeout=60)


def fetch_status(site: Site) -> dict[str, str]:
    done = site.programs.run_cli(
        "rollout", "status", f"--platform=127.0.0.1:{site.platform}", "--json"
    )
    return json.loads(done.stdout)[0]


def called_engines(site: Site, new_engine: int) -> set[int]:
    """Return the ports of the engines that receive the next calls."""
    engines = (site.engine, new_engine)
    before = {port: request_count(port) for port in engines}
    for number in range(20):
        router = FROZEN_ROUTERS[number % 2]
        call(site.ports[router], "POST", COMPLETIONS, completion(f"{number}", 2))
    return {port for port in engines if request_count(port) > before[port]}


def request_count(engine: int) -> int:
    return json.loads(call(engine, "GET", "/counters")[2]).get("requests", 0)
