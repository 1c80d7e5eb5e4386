"""Stand-ins of the platform, model engines and plain services.

Usage:
  banyansail-standin platform --listen=ADDRESS
  banyansail-standin engine --listen=ADDRESS [--name=NAME] [--version-name=VERSION]
                     [--slots=N] [--token-ms=MS] [--ignores-fencing]
  banyansail-standin service --listen=ADDRESS [--name=NAME]
  banyansail-standin store --listen=ADDRESS

Options:
  --listen=ADDRESS        IP number and port.
  --name=NAME             Name of the upstream [default: upstream].
  --version-name=VERSION  Version it runs [default: v1].
  --slots=N               Sequences batched at once [default: 8].
  --token-ms=MS           Time between tokens [default: 5].
  --ignores-fencing       Take orders with old fencing numbers.
"""

from __future__ import annotations

import os
import sys
from typing import Any

from docopt import docopt
from twisted.internet import reactor

from banyansail.config.fields import parse_address
from banyansail.standins.engine_state import EngineOptions
from banyansail.standins.server import (
    start_engine,
    start_platform,
    start_service,
    start_store,
)
from banyansail.standins.service import ServiceState

CRASH_EXIT_CODE = 70


def main(argv: list[str] | None = None) -> None:
    """Run one stand-in until the process is terminated."""
    arguments = docopt(__doc__, argv)
    try:
        _start(arguments)
    except ValueError as error:
        sys.exit(f"banyansail-standin: {error}")
    reactor.run()


def _start(arguments: dict[str, Any]) -> None:
    address = parse_address(arguments["--listen"])
    if arguments["platform"]:
        start_platform(address)
    elif arguments["engine"]:
        options = EngineOptions(
            name=arguments["--name"],
            version=arguments["--version-name"],
            slots=int(arguments["--slots"]),
            token_s=float(arguments["--token-ms"]) / 1000,
            checks_fencing=not arguments["--ignores-fencing"],
        )
        start_engine(address, options, _crash)
    elif arguments["store"]:
        start_store(address)
    else:
        start_service(address, ServiceState(arguments["--name"]), _crash)


def _crash() -> None:
    os._exit(CRASH_EXIT_CODE)


if __name__ == "__main__":
    main()
