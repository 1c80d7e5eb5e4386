"""Process of a gateway, from its sockets to its stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet import reactor

from banyansail.daemon import run_daemon
from banyansail.gateway.router import Gateway
from banyansail.log import open_log

if TYPE_CHECKING:
    import socket

    from banyansail.config.gateway_settings import GatewaySettings


def run_gateway(settings: GatewaySettings, listener: socket.socket) -> None:
    """Run a gateway until a signal stops it; SIGHUP has no effect yet."""
    with open_log(None):
        run_daemon(Gateway(settings, reactor, listener=listener), settings.name)
