"""Gateway daemon; one runs on each entry instance.

Usage:
  banyansail-gateway --settings=FILE [--check]

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

import gc
from typing import TYPE_CHECKING

from banyansail.command_line import run_command
from banyansail.config.gateway_settings import GatewaySettings, load_gateway_settings
from banyansail.gateway.callers.caller_listener import open_listener

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable


def main(argv: list[str] | None = None) -> None:
    """Run a gateway until it receives a stop signal."""
    run_command(__doc__, argv, load_gateway_settings, run)


def run(settings: GatewaySettings) -> None:
    """Open the socket for callers, then load and run the gateway."""
    with open_listener(settings.listen) as listener:
        run_gateway = load_gateway()
        run_gateway(settings, listener)


def load_gateway() -> Callable[[GatewaySettings, socket.socket], None]:
    """Load the gateway, which takes longer than all else at the start.

    What is loaded stays, so that the garbage collector need not visit it.
    """
    gc.disable()
    from banyansail.gateway.process import run_gateway

    gc.freeze()
    gc.enable()
    return run_gateway


if __name__ == "__main__":
    main()
