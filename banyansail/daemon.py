"""Running of a daemon in the reactor until a signal stops it."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Any, Protocol

import eliot
from twisted.internet import defer, reactor

from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Coroutine

START_FAILED_EXIT_STATUS = 1


class Daemon(Protocol):
    """Service that a process runs."""

    def startService(self) -> None:
        """Open the sockets and start the tasks."""

    def stop_gracefully(self) -> Coroutine[Any, Any, None]:
        """Finish the requests in progress, then close the sockets."""


def run_daemon(daemon: Daemon, name: str) -> None:
    """Run a daemon; SIGTERM and SIGINT stop it gracefully, SIGHUP is only logged.

    If the daemon cannot start, for example because its port is in use, the process
    exits with `START_FAILED_EXIT_STATUS`.

    Parameters
    ----------
    daemon : Daemon
        Daemon to run.
    name : str
        Name of the router in log lines.
    """
    runner = _Runner(daemon, name)
    reactor.callWhenRunning(runner.start)
    reactor.run(installSignalHandlers=False)
    sys.exit(runner.exit_status)


class _Runner:
    """Starts a daemon, handles signals and stops the daemon."""

    __slots__ = ("_daemon", "_is_stopping", "_name", "exit_status")

    def __init__(self, daemon: Daemon, name: str) -> None:
        self._daemon = daemon
        self._name = name
        self._is_stopping = False
        self.exit_status = 0

    def start(self) -> None:
        """Install the signal handlers and start the daemon."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        eliot.add_global_fields(router=self._name)  # for merged logs of several routers
        try:
            self._daemon.startService()
        except Exception as error:  # else the process would run on without sockets
            log_event("start_failed", error=str(error))
            print(f"{self._name} cannot start: {error}", file=sys.stderr)
            self.exit_status = START_FAILED_EXIT_STATUS
            reactor.stop()
            return
        log_event("started")

    def _on_stop_signal(self, signal_number: int, frame: Any) -> None:
        if not self._is_stopping:
            self._is_stopping = True
            reactor.callFromThread(self._stop_daemon)

    def _on_reload_signal(self, signal_number: int, frame: Any) -> None:
        reactor.callFromThread(log_event, "reload")

    def _stop_daemon(self) -> None:
        stopped = defer.Deferred.fromCoroutine(self._daemon.stop_gracefully())
        stopped.addErrback(self._log_stop_failure)
        stopped.addBoth(lambda result: reactor.stop())

    def _log_stop_failure(self, failure: Any) -> None:
        log_event("stop_failed", error=str(failure))
