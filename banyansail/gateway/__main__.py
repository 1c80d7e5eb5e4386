"""Gateway daemon, one on each entry instance.

Usage:
  banyansail-gateway --settings=FILE [--check]

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

import signal
import sys
from typing import Any

from docopt import docopt
from twisted.internet import defer, reactor

from banyansail.config.gateway_settings import GatewaySettings, load_gateway_settings
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
    """Run a gateway; SIGTERM stops it gracefully, SIGHUP changes nothing yet."""
    gateway = Gateway(settings, reactor)
    stopping: list[Any] = []

    def start() -> None:
        gateway.startService()
        log_event("started", router=settings.name)

    def stop(signum: int, frame: Any) -> None:
        if not stopping:
            stopping.append(signum)
            reactor.callFromThread(_stop, gateway)

    def reload(signum: int, frame: Any) -> None:
        reactor.callFromThread(log_event, "reload", router=settings.name)

    for number, handler in (
        (signal.SIGTERM, stop),
        (signal.SIGINT, stop),
        (signal.SIGHUP, reload),
    ):
        reactor.callWhenRunning(signal.signal, number, handler)
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)


def _stop(gateway: Gateway) -> None:
    done = defer.Deferred.fromCoroutine(gateway.stop_gracefully())
    done.addErrback(lambda failure: log_event("stop_failed", error=str(failure)))
    done.addBoth(lambda result: reactor.stop())


if __name__ == "__main__":
    main()
