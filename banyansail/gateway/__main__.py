"""Gateway daemon; one runs on each entry instance.

Usage:
  banyansail-gateway --settings=FILE [--check]

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

from twisted.internet import reactor

from banyansail.config.gateway_settings import GatewaySettings, load_gateway_settings
from banyansail.daemon import run_command, run_daemon
from banyansail.gateway.router import Gateway
from banyansail.log import open_log


def main(argv: list[str] | None = None) -> None:
    """Run a gateway until it receives a stop signal."""
    run_command(__doc__, argv, load_gateway_settings, run)


def run(settings: GatewaySettings) -> None:
    """Run a gateway; SIGHUP has no effect yet."""
    with open_log(None):
        run_daemon(Gateway(settings, reactor), settings.name)


if __name__ == "__main__":
    main()
