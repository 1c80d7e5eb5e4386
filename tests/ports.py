"""Ports of loopback that no other test run and no outgoing connection takes.

A port that the kernel gave out for a moment may be taken again, as the near end
of an outgoing connection or by another worker, before a program listens on it.
"""

from __future__ import annotations

import fcntl
import socket
import tempfile
from itertools import cycle
from pathlib import Path
from typing import TextIO

HOST = "127.0.0.1"
FIRST_PORT = 12000
SEGMENT_PORTS = 400
SEGMENTS = 50  # they end below the ports of outgoing connections
LOCK_FOLDER = Path(tempfile.gettempdir())


class PortSegment:
    """Ports that belong to this process as long as it lives."""

    def __init__(self) -> None:
        self._lock, number = _lock_segment()
        first = FIRST_PORT + number * SEGMENT_PORTS
        self._ports = cycle(range(first, first + SEGMENT_PORTS))

    def next_free(self) -> int:
        """Return the next port on which nothing listens, for TCP and UDP."""
        for port in self._ports:
            if _is_free(port):
                return port
        raise OSError("no free port")


def _lock_segment() -> tuple[TextIO, int]:
    """Lock the first segment that no live process holds."""
    for number in range(SEGMENTS):
        lock = open(LOCK_FOLDER / f"banyansail-ports-{number}.lock", "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        return lock, number
    raise OSError(f"all {SEGMENTS} segments of ports are taken")


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        # Connections of programs that ended may linger; the programs reuse them too.
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True


_segment: PortSegment | None = None


def free_port() -> int:
    """Return a port for a program that a test starts."""
    global _segment
    if _segment is None:
        _segment = PortSegment()
    return _segment.next_free()
