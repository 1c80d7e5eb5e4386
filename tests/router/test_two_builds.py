"""Our own routers, replaced by another build one by one, under keyed orders."""

from __future__ import annotations

import http.client
import json
import signal
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.builds import ROOT, MissingBuildError, extract_build, production_commit
from tests.processes import Programs, call, wait_for_http, wait_until

ORDERS = "/depot-app/orders"
ROUTERS = ("r0", "r1", "r2")
CUSTOMERS = 6
MIN_ORDERS = 50
RULES = (
    "service depot-app kind=plain  # isla: depots\n"
    "route depot-app POST /orders repeat=no deadline=6s  # isla: once\n"
    "upstream s1 service=depot-app version=v1 zone=glasgow address=127.0.0.1:{port} "
    "class=reclaimable price=1  # isla: today's machines\n"
)


class Site:
    """A platform, a service and three routers of one zone, each of some build."""

    def __init__(self, programs: Programs, build) -> None:
        self.programs = programs
        self.platform = programs.start_platform()
        self.service = programs.start_service("s1")
        programs.wait_for_start("s1", self.service, "/health")
        programs.apply_rules(self.platform, RULES.format(port=self.service))
        self.ports: dict[str, tuple[int, int, int]] = {}
        for name in ROUTERS:
            self.start(name, build)
        self.wait_until_connected()

    def start(self, name: str, build) -> None:
        known = self.ports.get(name)
        peers = [ports[1] for other, ports in self.ports.items() if other != name]
        self.ports[name] = self.programs.start_router(
            name,
            self.platform,
            peers=peers,
            peer=known and known[1],
            listen=known and known[0],
            cwd=build,
            stop_notice="2s",
        )

    def wait_until_connected(self) -> None:
        for name in ROUTERS:
            wait_until(lambda: self._live_count(name) == len(ROUTERS))  # noqa: B023

    def _live_count(self, name: str) -> int:
        status = json.loads(call(self.ports[name][2], "GET", "/status")[2])
        return sum(item["live"] for item in status["members"])

    def send_order(self, router: str, key: str) -> int | None:
        """Send an order; return its status, ``None`` if the connection is cut."""
        port = self.ports[router][0]
        body = {"sku": key}
        try:
            return call(port, "POST", ORDERS, body, idempotency_key=key)[0]
        except (OSError, http.client.HTTPException):
            return None

    def effects(self) -> dict[str, int]:
        return json.loads(call(self.service, "GET", "/effects")[2])


class Customer(threading.Thread):
    """Sends each order through all routers at once, until stopped."""

    def __init__(self, site: Site, name: str) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._name = name
        self.is_stopped = False
        self.statuses_by_key: dict[str, list[int | None]] = {}

    def run(self) -> None:
        with ThreadPoolExecutor(len(ROUTERS)) as executor:
            while not self.is_stopped:
                key = f"{self._name}-{len(self.statuses_by_key)}"
                sent = [
                    executor.submit(self._site.send_order, name, key)
                    for name in ROUTERS
                ]
                self.statuses_by_key[key] = [item.result() for item in sent]


@pytest.fixture
def older_build(tmp_path):
    try:
        return extract_build(production_commit(), tmp_path / "older")
    except MissingBuildError as error:
        pytest.skip(f"the history has no such build: {error}")


def replace_all(site, build):
    for name in ROUTERS:
        number = signal.SIGKILL if name == "r1" else signal.SIGTERM
        site.programs.signal(name, number)
        site.programs.process_by_name[name].wait(timeout=20)
        site.start(name, build)
        wait_for_http(site.ports[name][0], "/health")
        site.wait_until_connected()


def test_no_keyed_order_runs_twice_while_the_build_is_replaced(tmp_path, older_build):
    """Guards against operations of the ledger that are lost between two builds."""
    with Programs(tmp_path) as programs:
        site = Site(programs, older_build)
        customers = [Customer(site, f"c{number}") for number in range(CUSTOMERS)]
        for customer in customers:
            customer.start()
        replace_all(site, ROOT)
        replace_all(site, older_build)
        statuses_by_key: dict[str, list[int | None]] = {}
        for customer in customers:
            customer.is_stopped = True
            customer.join(timeout=30)
            statuses_by_key |= customer.statuses_by_key
        effects = site.effects()
        assert len(statuses_by_key) > MIN_ORDERS
        for key, statuses in statuses_by_key.items():
            assert effects.get(key, 0) <= 1, key
            if 200 in statuses:
                assert effects.get(key, 0) == 1, key
        served = [200 in item for item in statuses_by_key.values()]
        assert sum(served) >= 0.9 * len(served)
        logs = [programs.log(name) for name in ROUTERS]
        assert not [log for log in logs if "peer_call_failed" in log]
