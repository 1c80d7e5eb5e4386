"""Command line of a daemon.

It imports little, so that a daemon can open its sockets before it loads the rest.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from docopt import docopt

from banyansail.exceptions import BanyansailError

if TYPE_CHECKING:
    from collections.abc import Callable


def run_command(
    usage: str,
    argv: list[str] | None,
    load: Callable[[str], Any],
    run: Callable[[Any], None],
) -> None:
    """Parse a daemon's command line, then run it or only check its settings.

    Parameters
    ----------
    usage : str
        Docopt usage text with ``--settings`` and ``--check``.
    load : callable
        Loads settings from a path; raises `ConfigError` if they are invalid.
    run : callable
        Runs with the settings until a signal stops it.
    """
    arguments = docopt(usage, argv)
    try:
        settings = load(arguments["--settings"])
        if not arguments["--check"]:
            run(settings)
    except BanyansailError as error:
        sys.exit(error.message)
