"""Runs a service in the reactor until a signal stops it."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Any, Protocol

import eliot
from docopt import docopt
from twisted.internet import defer, reactor

from banyansail.exceptions import BanyansailError
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

START_FAILED_STATUS = 1


class Daemon(Protocol):
    """What a process runs."""

    def startService(self) -> None:
        """Open the sockets and start the tasks."""

    def stop_gracefully(self) -> Coroutine[Any, Any, None]:
        """Finish what is in progress, then close the sockets."""


def run_command(
    usage: str,
    argv: list[str] | None,
    load: Callable[[str], Any],
    run: Callable[[Any], None],
) -> None:
    """Run a daemon's command line, or only check its settings.

    Parameters
    ----------
    usage : str
        Usage with ``--settings`` and ``--check``.
    load : callable
        Reads settings from a path; see `ConfigError`.
    run : callable
        Takes the settings and runs until it is told to stop.
    """
    arguments = docopt(usage, argv)
    try:
        settings = load(arguments["--settings"])
    except BanyansailError as error:
        sys.exit(error.message)
    if not arguments["--check"]:
        run(settings)


def run_daemon(daemon: Daemon, name: str) -> None:
    """Run a daemon; SIGTERM and SIGINT stop it gracefully, SIGHUP is logged.

    A daemon that cannot start, as another process has its port, ends the process
    with `START_FAILED_STATUS`.

    Parameters
    ----------
    daemon : Daemon
        What is run.
    name : str
        Name for the log.
    """
    runner = _Runner(daemon, name)
    reactor.callWhenRunning(runner.start)
    reactor.run(installSignalHandlers=False)
    sys.exit(runner.status)


class _Runner:
    """Start, signals and end of one daemon."""

    __slots__ = ("_daemon", "_is_stopping", "_name", "status")

    def __init__(self, daemon: Daemon, name: str) -> None:
        self._daemon = daemon
        self._name = name
        self._is_stopping = False
        self.status = 0

    def start(self) -> None:
        """Install the handlers of signals and start the daemon."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        eliot.add_global_fields(router=self._name)  # logs of many routers are read
        try:
            self._daemon.startService()
        except Exception as error:  # nothing else would end a process without sockets
            log_event("start_failed", error=str(error))
            print(f"{self._name} cannot start: {error}", file=sys.stderr)
            self.status = START_FAILED_STATUS
            reactor.stop()
            return
        log_event("started")

    def _on_stop(self, number: int, frame: Any) -> None:
        if not self._is_stopping:
            self._is_stopping = True
            reactor.callFromThread(self._stop)

    def _on_reload(self, number: int, frame: Any) -> None:
        reactor.callFromThread(log_event, "reload")

    def _stop(self) -> None:
        done = defer.Deferred.fromCoroutine(self._daemon.stop_gracefully())
        done.addErrback(self._log_failed_stop)
        done.addBoth(lambda result: reactor.stop())

    def _log_failed_stop(self, failure: Any) -> None:
        log_event("stop_failed", error=str(failure))
