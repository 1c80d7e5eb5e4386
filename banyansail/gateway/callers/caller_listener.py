"""Listening socket of callers, opened before the router can serve them.

A caller that connects while the router starts waits in the queue of the socket. A
refused connection would cost it one of its few attempts.
"""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import ListenError

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.config.fields import Address

LISTEN_BACKLOG = 512
# From the start of the service; callers give up a connection that is not read soon.
MAX_HOLD_TIME = timedelta(milliseconds=500)
HOLD_CHECK_INTERVAL = timedelta(milliseconds=10)


def open_listener(address: Address) -> socket.socket:
    """Listen on an address.

    Raises
    ------
    ListenError
        If the address is in use or does not belong to this instance.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address.host, address.port))
        listener.listen(LISTEN_BACKLOG)
    except OSError as error:
        listener.close()
        raise ListenError(f"cannot listen on {address}: {error}") from error
    return listener


class CallerListener:
    """Leaves connections in the queue of a socket until the router can serve them.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    listener : socket.socket
        Listening socket; it is closed once the reactor has a copy of it.
    factory : Factory
        Serves the connections.
    is_ready : callable
        Returns whether requests can be served.
    """

    __slots__ = ("_check", "_factory", "_is_ready", "_listener", "_port", "_reactor")

    def __init__(
        self,
        reactor: Any,
        listener: socket.socket,
        factory: Any,
        is_ready: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._listener = listener
        self._factory = factory
        self._is_ready = is_ready
        self._check: Any = None
        self._port: Any = None

    def start(self) -> None:
        """Serve the waiting connections as soon as requests can be served.

        They are served after `MAX_HOLD_TIME` in any case, as the answer may then be a
        rejection that tells callers when to return.
        """
        deadline = self._reactor.seconds() + MAX_HOLD_TIME.total_seconds()
        self._serve_if_due(deadline)

    def stopListening(self) -> None:  # noqa: N802, as of Twisted's ports
        """Close the socket; connections that were accepted stay open."""
        if self._check is not None and self._check.active():
            self._check.cancel()
        self._listener.close()
        if self._port is not None:
            self._port.stopListening()

    def _serve_if_due(self, deadline: float) -> None:
        if not self._is_ready() and self._reactor.seconds() < deadline:
            self._check = self._reactor.callLater(
                HOLD_CHECK_INTERVAL.total_seconds(), self._serve_if_due, deadline
            )
            return
        self._port = self._reactor.adoptStreamPort(
            self._listener.fileno(), socket.AF_INET, self._factory
        )
        self._listener.close()
