"""Router daemon, one on each entry instance.

Usage:
  banyansail-router --settings=FILE
  banyansail-router --check --settings=FILE

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

import sys

from docopt import docopt
from twisted.internet import reactor

from banyansail.config.settings import Settings, load_settings
from banyansail.daemon import run_daemon
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
    """Run a router; a SIGHUP changes nothing, as rules come from the platform."""
    router = Router(settings, reactor)
    run_daemon(router, router.router_id, lambda: log_event("reload"))


if __name__ == "__main__":
    main()
