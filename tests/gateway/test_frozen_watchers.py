"""Gateways as processes; those that watch the store for the others are frozen."""

from __future__ import annotations

import signal
import time

import pytest

from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import LiveGateway, config_body
from tests.live import in_reactor
from tests.ports import free_port
from tests.processes import Programs, call, wait_until

ROUTERS = 6
HOST = "127.0.0.1"
SETTINGS = """\
name: {name}
zone: glasgow
region: scotland
listen: {host}:{listen}
ready: {host}:{ready}
peer: 127.0.0.{number}:{peer}
relay: 127.0.0.{number}:{relay}
metrics: {host}:{metrics}
seeds: ["127.0.0.1:1", "127.0.0.2:1"]
store: {store}
cloud: {store}
shared_key: 0123456789abcdef
grace_s: 8
retry_ratio: 0.2
retry_slack: 58
retry_window_s: 10
quota_slack: 1000
usage_window_s: 5
usage_late_s: 10
lease_ms: 3000
expose_share: 0.1
store_watchers: 3
"""


class Site:
    """One gateway in this process, beside its store, and five processes."""

    def __init__(self, live: LiveGateway, programs: Programs) -> None:
        self._live = live
        self.programs = programs
        self.metrics_by_name: dict[str, int] = {}
        for number in range(2, ROUTERS + 1):
            self._start(number)
        wait_until(lambda: len(live.gateway.link.live_peers()) == ROUTERS - 1)

    def _start(self, number: int) -> None:
        name = f"front-{number}"
        own = self._live.gateway.settings
        ports = ("listen", "ready", "relay", "metrics")
        text = SETTINGS.format(
            name=name,
            number=number,
            host=HOST,
            peer=own.peer.port,
            store=own.store,
            **{port: free_port() for port in ports},
        )
        path = self.programs.folder / f"{name}.yaml"
        path.write_text(text)
        self.programs.start(name, "banyansail.gateway", f"--settings={path}")
        line = next(item for item in text.splitlines() if item.startswith("metrics"))
        self.metrics_by_name[name] = int(line.rpartition(":")[2])

    def metric(self, name: str, metric: str) -> float:
        page = call(self.metrics_by_name[name], "GET", "/metrics", timeout=2)[2]
        lines = page.decode() if isinstance(page, bytes) else page
        values = [
            line.split()[1]
            for line in lines.splitlines()
            if line.startswith(f"{metric} ")
        ]
        return float(values[0])

    def names_by_role(self) -> tuple[list[str], list[str]]:
        """Return the processes that watch and those that follow."""
        followed = {
            name: self.metric(name, "banyansail_store_watchers_followed")
            for name in self.metrics_by_name
        }
        watchers = [name for name, count in followed.items() if not count]
        return watchers, [name for name, count in followed.items() if count]

    def is_settled(self) -> bool:
        """Return whether three of the six routers follow two others each."""
        _, followers = self.names_by_role()
        role = in_reactor(lambda: self._live.gateway.store_following.role)
        return len(followers) + (not role.is_watcher) == ROUTERS - 3

    def cut_own_gateway(self) -> None:
        """Cut the gateway of this process off from the store; it may be a watcher."""
        live = self._live
        port = live.gateway.settings.store.port
        in_reactor(lambda: live.reactor.begin(Cut.HANG, {port}))

    def put_config(self, version: int) -> None:
        store = self._live.store.state
        in_reactor(lambda: store.put("config", "main", spec=config_body(version)))

    def seconds_until(self, version: int, names: list[str]) -> float:
        """Return the time until a configuration is in force at some processes."""
        started = time.monotonic()
        for name in names:
            wait_until(
                lambda: self.metric(name, "banyansail_config_version") == version  # noqa: B023
            )
        return time.monotonic() - started


@pytest.fixture
def site(tmp_path):
    with LiveGateway(store_watchers=3) as live, Programs(tmp_path) as programs:
        started = Site(live, programs)
        wait_until(started.is_settled)
        # Ends the watches that followers sent themselves when they started.
        started.put_config(2)
        started.seconds_until(2, list(started.metrics_by_name))
        yield started


def test_a_configuration_is_in_force_while_the_watchers_are_frozen(site):
    """Their connections stay open, and their heartbeats end only after 15 s."""
    watchers, followers = site.names_by_role()
    site.cut_own_gateway()
    for name in watchers:
        site.programs.signal(name, signal.SIGSTOP)
    site.put_config(3)
    seconds = site.seconds_until(3, followers)
    print(f"in force at the followers of frozen watchers after {seconds:.2f} s")
    for name in watchers:
        site.programs.signal(name, signal.SIGCONT)
    site.seconds_until(3, watchers)
    site.put_config(4)
    site.seconds_until(4, watchers + followers)


def test_a_configuration_is_in_force_after_the_watchers_were_killed(site):
    watchers, followers = site.names_by_role()
    site.cut_own_gateway()
    for name in watchers:
        site.programs.kill(name)
    site.put_config(3)
    seconds = site.seconds_until(3, followers)
    print(f"in force at the followers of killed watchers after {seconds:.2f} s")
