"""The gateway's program, with links to all upstreams that are cut from outside.

Usage:
  soak-gateway --settings=FILE [--check]

Options:
  --settings=FILE  Settings, as of the gateway. Beside them, a file of that name with
                   the suffix ``.cut`` cuts the links while it exists. It has the form
                   of the cut, and the ports that are cut off. With ``silence``, only
                   connections that are open say nothing more.
  --check          Check the settings and exit.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from twisted.internet import task

from banyansail.command_line import run_command
from banyansail.config.gateway_settings import GatewaySettings, load_gateway_settings
from banyansail.daemon import run_daemon
from banyansail.gateway.callers.caller_listener import open_listener
from banyansail.gateway.router import Gateway
from banyansail.log import open_log
from tests.gateway.cut_reactor import Cut, CutReactor

if TYPE_CHECKING:
    from collections.abc import Iterable

POLL_S = 0.05
SILENCE = "silence"


def cut_path(settings_path: Path) -> Path:
    """Return the file that cuts the links of a router."""
    return settings_path.with_suffix(".cut")


def cut_text(form: str, ports: Iterable[int]) -> str:
    """Return the content of the file."""
    return " ".join([form, *map(str, ports)])


class CutSwitch:
    """Cuts links while a file exists.

    Parameters
    ----------
    reactor : CutReactor
        Reactor of the router.
    path : Path
        The file.
    """

    def __init__(self, reactor: CutReactor, path: Path) -> None:
        self._reactor = reactor
        self._path = path

    def update(self) -> None:
        """Begin or end the cut if the file has come or gone."""
        is_cut = self._reactor.cut is not None
        if self._path.exists() is is_cut:
            return
        if is_cut:
            self._reactor.end()
            return
        form, *texts = self._path.read_text().split()
        ports = set(map(int, texts))
        if form == SILENCE:
            self._path.unlink()
            self._reactor.silence(ports)
        else:
            self._reactor.begin(Cut(form), ports)


def run(settings: GatewaySettings) -> None:
    """Run a gateway as its own program does."""
    path = Path(sys.argv[1].partition("=")[2])
    reactor = CutReactor()
    switch = CutSwitch(reactor, cut_path(path))
    with open_listener(settings.listen) as listener, open_log(None):
        task.LoopingCall(switch.update).start(POLL_S)
        run_daemon(Gateway(settings, reactor, listener=listener), settings.name)


if __name__ == "__main__":
    run_command(__doc__, None, load_gateway_settings, run)
