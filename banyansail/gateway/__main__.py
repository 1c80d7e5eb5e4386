"""Gateway daemon; one runs on each entry instance.

Usage:
  banyansail-gateway --settings=FILE [--check]

Options:
  --settings=FILE  YAML settings of this instance.
  --check          Check the settings and exit.
"""

from __future__ import annotations

from banyansail.command_line import run_command
from banyansail.config.gateway_settings import GatewaySettings, load_gateway_settings
from banyansail.gateway.callers.caller_listener import open_listener


def main(argv: list[str] | None = None) -> None:
    """Run a gateway until it receives a stop signal."""
    run_command(__doc__, argv, load_gateway_settings, run)


def run(settings: GatewaySettings) -> None:
    """Open the socket for callers, then load and run the gateway."""
    with open_listener(settings.listen) as listener:
        # Loading takes longer than all else at the start; callers wait meanwhile.
        from banyansail.gateway.process import run_gateway

        run_gateway(settings, listener)


if __name__ == "__main__":
    main()
