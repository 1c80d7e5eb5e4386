"""Gateway daemon, one on each entry instance.

Usage:
  banyansail-gateway --settings=FILE [--check]

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

import sys

from docopt import docopt
from twisted.internet import reactor

from banyansail.config.gateway_settings import GatewaySettings, load_gateway_settings
from banyansail.daemon import run_daemon
from banyansail.exceptions import BanyansailError
from banyansail.gateway.router import Gateway
from banyansail.log import log_event, open_log


def main(argv: list[str] | None = None) -> None:
    """Run a gateway until it is told to stop."""
    arguments = docopt(__doc__, argv)
    try:
        settings = load_gateway_settings(arguments["--settings"])
    except BanyansailError as error:
        sys.exit(error.message)
    if arguments["--check"]:
        return
    with open_log(None):
        run(settings)


def run(settings: GatewaySettings) -> None:
    """Run a gateway; a SIGHUP changes nothing yet."""
    name = settings.name
    gateway = Gateway(settings, reactor)
    run_daemon(gateway, name, lambda: log_event("reload"))


if __name__ == "__main__":
    main()
