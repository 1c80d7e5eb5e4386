"""Operator's command line of banyansail.

Usage:
  banyansail rules check FILE [--strict]
  banyansail rules apply FILE --platform=ADDRESS --by=NAME [--expect=VERSION]
                              [--strict]
  banyansail rules show --platform=ADDRESS
  banyansail rules history --platform=ADDRESS
  banyansail rules diff FILE --platform=ADDRESS
  banyansail rules reference
  banyansail rules status --router=ADDRESS [--json]
  banyansail rollout status --platform=ADDRESS [--json]
  banyansail rollout take-back SERVICE --platform=ADDRESS --by=NAME --why=TEXT
  banyansail status --router=ADDRESS [--json]
  banyansail explain REQUEST --log=FILE... [--around=N]
  banyansail demo [--seconds=N] [--seed=N]
  banyansail (-h | --help | --version)

Options:
  --platform=ADDRESS  IP number and port of the platform.
  --router=ADDRESS    IP number and port of a router's admin listener.
  --by=NAME           Who does it.
  --why=TEXT          Why it is done.
  --expect=VERSION    Apply only if this version is in force.
  --strict            Warnings are errors.
  --json              Print JSON.
  --log=FILE          Logs to read, of any number of routers; "-" is standard input.
  --around=N          Seconds before a request whose events are told [default: 3].
  --seconds=N         Length of the demo's load [default: 12].
  --seed=N            Seed of the demo's load [default: 1].
"""

from __future__ import annotations

import sys
from typing import Any

from docopt import docopt

from banyansail import __version__
from banyansail.commands import demo, explain, rollout, rules, status
from banyansail.exceptions import BanyansailError


def main(argv: list[str] | None = None) -> None:
    """Run one command and exit; the exit code is 0 if it succeeded."""
    arguments = docopt(__doc__, argv, version=__version__)
    try:
        exit_code = _run_command(arguments)
    except BanyansailError as error:
        print(error.message, file=sys.stderr)
        exit_code = 1
    sys.exit(exit_code)


def _run_command(arguments: dict[str, Any]) -> int:
    modules = (rules, rollout, status, explain, demo)
    command_names = ("rules", "rollout", "status", "explain", "demo")
    for name, module in zip(command_names, modules, strict=True):
        if arguments[name]:
            return module.run(arguments)
    return 1


if __name__ == "__main__":
    main()
