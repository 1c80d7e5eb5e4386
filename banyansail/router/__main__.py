"""Router daemon, one on each entry instance.

Usage:
  banyansail-router --settings=FILE
  banyansail-router --check --settings=FILE

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

from twisted.internet import reactor

from banyansail.command_line import run_command
from banyansail.config.settings import Settings, load_settings
from banyansail.daemon import run_daemon
from banyansail.log import open_log
from banyansail.router.router import Router


def main(argv: list[str] | None = None) -> None:
    """Run a router until a signal stops it."""
    run_command(__doc__, argv, load_settings, run)


def run(settings: Settings) -> None:
    """Run a router; SIGHUP has no effect, as the rules come from the platform."""
    with open_log(settings.log):
        router = Router(settings, reactor)
        run_daemon(router, router.router_id)


if __name__ == "__main__":
    main()
