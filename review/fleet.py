"""Starts the project's gateways with the command and template of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from review.http import call

ROOT = Path(__file__).resolve().parents[1]
SETTINGS_ARGUMENT = "/etc/banyansail/node.json"
PORT_COUNT = 16
BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configMs": 2000,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 56,
    "quotaWindowS": 8,
    "quotaSlack": 140000,
    "requireFence": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "usageWindowS": 5,
    "usageLateS": 10,
    "exposeShare": 0.1,
    "exposeSlack": 50,
    "rollbackMs": 5000,
}


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the placeholders of a template, as DEPLOY.md describes them."""

    def replace(match: re.Match[str]) -> str:
        path, _, form = match[1].partition("|")
        value: Any = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        if form == "json":
            return json.dumps(value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, template)


class Gateway:
    """One machine with its process."""

    def __init__(
        self, fleet: Fleet, number: int, host: str, zone: str, ports: dict[str, int]
    ) -> None:
        self.name = f"front-{zone}-{number}"
        self.host = host
        self.zone = zone
        self.ports = ports
        self._fleet = fleet
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, *, is_first: bool = False) -> None:
        """Start the process with the settings of now."""
        fleet = self._fleet
        fields = {
            "nodeName": self.name,
            "ip": self.host,
            "zone": self.zone,
            "region": "region",
            "listen": {
                key: f"{self.host}:{self.ports[key]}"
                for key in ("front", "ready", "control")
            },
            "portRange": [self.ports["first"], self.ports["first"] + PORT_COUNT - 1],
            "seeds": fleet.seeds,
            "bootstrap": is_first,
            "bounds": BOUNDS,
            "platform": {"address": fleet.store_address},
            "cloudApi": {"address": fleet.store_address},
        }
        path = fleet.folder / f"{self.name}.settings"
        path.write_text(render(fleet.template, fields))
        words = [
            word.replace(SETTINGS_ARGUMENT, str(path)) for word in fleet.command.split()
        ]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (fleet.folder / f"{self.name}.out").open("ab") as output:
            self._process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    async def restart(self) -> None:
        """Stop the process as the platform does, and start it again."""
        self._process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + BOUNDS["graceS"]
        while self._process.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.05)
        self.kill()
        self.start()

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        answer = await call(
            self.host, self.ports["ready"], "GET", "/v1/ready", {"host": "ready"}
        )
        return answer is not None and answer.status == 200


class Fleet:
    """Gateways on loopback addresses, one address for each machine.

    Parameters
    ----------
    folder : Path
        For settings and output.
    zones : list of str
        Zone of each machine.
    """

    def __init__(self, folder: Path, zones: list[str]) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["router"]
        self.command: str = role["run"]
        self.template = (ROOT / role["template"]).read_text()
        self.folder = folder
        self.store_address = ""
        self._net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        ports = free_ports(self.host(1))
        self.gateways = [
            Gateway(self, number, self.host(number), zone, ports)
            for number, zone in enumerate(zones, 1)
        ]
        self.seeds = [
            f"{gateway.host}:{ports['control']}" for gateway in self.gateways[:3]
        ]

    def host(self, number: int) -> str:
        """Return an address of this run."""
        return f"{self._net}.{number}"

    def by_name(self, name: str) -> Gateway:
        """Return a gateway."""
        return next(item for item in self.gateways if item.name == name)

    async def start(self) -> None:
        """Start all gateways and wait until they are ready.

        Raises
        ------
        RuntimeError
            If one does not become ready.
        """
        for gateway in self.gateways:
            gateway.start(is_first=True)
        deadline = time.monotonic() + 15
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{gateway.name} does not become ready")
                await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.kill()


def free_ports(host: str) -> dict[str, int]:
    """Return ports that are free on an address, and so on all of this run."""
    while True:
        first = random.randint(12000, 28000)
        wanted = range(first, first + PORT_COUNT + 3)
        try:
            for port in [*wanted, 9464]:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        named = zip(("front", "ready", "control"), wanted[PORT_COUNT:], strict=True)
        return {"first": first, **dict(named)}
