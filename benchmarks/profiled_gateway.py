"""Gateway that profiles itself from SIGUSR1 until SIGUSR2, then writes the figures.

The times are of the processor, so that other load of the machine adds nothing.

Usage:
  profiled_gateway --settings=FILE --output=FILE

Options:
  --settings=FILE  YAML settings of the gateway.
  --output=FILE    Where the profile is written.
"""

from __future__ import annotations

import signal
import time
from cProfile import Profile

from docopt import docopt
from twisted.internet import reactor

from banyansail.config.gateway_settings import load_gateway_settings
from banyansail.gateway.callers.caller_listener import open_listener
from banyansail.gateway.process import run_gateway


def main(argv: list[str] | None = None) -> None:
    """Run a gateway until it receives a stop signal."""
    arguments = docopt(__doc__, argv)
    settings = load_gateway_settings(arguments["--settings"])
    profile = Profile(time.thread_time)  # without the time of other processes

    def start(*args: object) -> None:
        reactor.callFromThread(profile.enable)

    def finish(*args: object) -> None:
        reactor.callFromThread(_write, profile, arguments["--output"])

    signal.signal(signal.SIGUSR1, start)
    signal.signal(signal.SIGUSR2, finish)
    with open_listener(settings.listen) as listener:
        run_gateway(settings, listener)


def _write(profile: Profile, path: str) -> None:
    profile.disable()
    profile.dump_stats(path)


if __name__ == "__main__":
    main()
