"""The processes under review, started by the command of the deploy file."""

from __future__ import annotations

import atexit
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 58,
    "quotaWindowS": 8,
    "quotaOver": 0.1,
    "quotaSlack": 190000,
    "requireFence": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "usageWindowS": 5,
    "usageOff": 0.05,
    "usageLateS": 10,
    "exposeShare": 0.1,
    "exposeSlack": 50,
    "rollbackMs": 5000,
    "recoverS": 12,
}
METRICS_PORT = 9464  # of the template
PLACEHOLDER = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def is_free(host: str, port: int) -> bool:
    """Return whether a port can be listened on, for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as tried:
            try:
                tried.bind((host, port))
            except OSError:
                return False
    return True


def free_net_and_ports(count: int) -> tuple[str, tuple[int, int, int, int]]:
    """Return a loopback network and ports that are free on all of its machines."""
    for _ in range(50):
        net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
        base = random.randint(10_000, 30_000)
        ports = (base, base + 3, base + 8, base + 20)
        hosts = [f"{net}.{number + 10}" for number in range(1, count + 1)]
        needed = (*ports, base + 21, METRICS_PORT)
        if all(is_free(host, port) for host in hosts for port in needed):
            return net, ports
    raise OSError("no free ports were found")


def _value(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the platform does, without sections."""

    def fill(match: re.Match[str]) -> str:
        value = _value(fields, match[1])
        if match[2] or isinstance(value, dict | bool):
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return PLACEHOLDER.sub(fill, template)


class Routers:
    """Machines that run the role of the deploy file, each at its own address."""

    def __init__(self, folder: Path, zones: list[str], count: int, store: str) -> None:
        self._folder = folder
        self.net, ports = free_net_and_ports(count)
        self.hosts = {f"front-{n}": f"{self.net}.{n + 10}" for n in range(1, count + 1)}
        self._zones = zones
        self._store = store
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self._role = role["router"]
        self.front, self.ready, self.control, self._range_start = ports
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._is_first = True
        # Also if the case is ended from outside.
        atexit.register(self.end)
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))

    def _fields(self, name: str) -> dict[str, Any]:
        ip = self.hosts[name]
        zone = self._zones[(int(name.split("-")[1]) - 1) % len(self._zones)]
        seeds = [f"{host}:{self.control}" for host in list(self.hosts.values())[:3]]
        return {
            "nodeName": name,
            "role": "router",
            "machineClass": "front",
            "ip": ip,
            "zone": zone,
            "region": "r",
            "listen": {
                "front": f"{ip}:{self.front}",
                "ready": f"{ip}:{self.ready}",
                "control": f"{ip}:{self.control}",
            },
            "portRange": [self._range_start, self._range_start + 15],
            "seeds": seeds,
            "bootstrap": self._is_first,
            "bounds": BOUNDS,
            "platform": {"address": self._store, "form": "objects"},
            "cloudApi": {"address": self._store},
        }

    def start(self, name: str) -> subprocess.Popen[bytes]:
        """Start the process of a machine."""
        settings = self._folder / f"{name}.json"
        text = (ROOT / self._role["template"]).read_text()
        settings.write_text(render(text, self._fields(name)))
        words = [
            word.replace("/etc/banyansail/node.json", str(settings))
            for word in self._role["run"].split()
        ]
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BANYANSAIL_BOOT": str(settings),
        }
        with (self._folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )
        self.processes[name] = process
        return process

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for name in self.hosts:
            self.start(name)
        self._is_first = False

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.processes[name].send_signal(number)

    def log(self, name: str) -> str:
        """Return what the processes of a machine wrote."""
        return (self._folder / f"{name}.log").read_text(errors="replace")

    def end(self) -> None:
        """Kill what still runs."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
