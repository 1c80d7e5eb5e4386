"""Router daemon, one on each entry instance.

Usage:
  banyansail-router --settings=FILE
  banyansail-router --check --settings=FILE

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

from banyansail.config.settings import Settings, load_settings
from banyansail.exceptions import BanyansailError
from banyansail.log import log_event, open_log
from banyansail.router.router import Router


def main(argv: list[str] | None = None) -> None:
    """Run a router until it is told to stop."""
    arguments = docopt(__doc__, argv)
    try:
        settings = load_settings(arguments["--settings"])
    except BanyansailError as error:
        sys.exit(error.message)
    if arguments["--check"]:
        return
    with open_log(settings.log):
        run(settings)


def run(settings: Settings) -> None:
    """Run a router; SIGTERM and SIGINT stop it gracefully."""
    router = Router(settings, reactor)

    def start() -> None:
        router.startService()
        log_event("started", router=router.router_id)

    def stop(signum: int, frame: Any) -> None:
        reactor.callFromThread(_stop, router)

    reactor.callWhenRunning(start)
    reactor.callWhenRunning(signal.signal, signal.SIGTERM, stop)
    reactor.callWhenRunning(signal.signal, signal.SIGINT, stop)
    reactor.run(installSignalHandlers=False)


def _stop(router: Router) -> None:
    done = defer.Deferred.fromCoroutine(router.stop_gracefully())
    done.addBoth(lambda result: reactor.stop())


if __name__ == "__main__":
    main()
