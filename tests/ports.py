"""Loopback ports that no other test process and no outgoing connection uses.

A free port obtained from the kernel could be taken again, by an outgoing connection or
by another test worker, before the program under test listens on it.
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
PORTS_PER_SEGMENT = 400
SEGMENT_COUNT = 50  # the last one ends below the ports of outgoing connections
LOCK_DIRECTORY = Path(tempfile.gettempdir())


class PortSegment:
    """Range of ports that this process has locked until it exits."""

    def __init__(self) -> None:
        self._segment_lock, number = _lock_segment()
        first = FIRST_PORT + number * PORTS_PER_SEGMENT
        self._ports = cycle(range(first, first + PORTS_PER_SEGMENT))

    def next_free(self) -> int:
        """Return the next port that is free for both TCP and UDP."""
        for port in self._ports:
            if _is_free(port):
                return port
        raise OSError("no free port in the segment")


def _lock_segment() -> tuple[TextIO, int]:
    """Lock the first segment that no other process has locked."""
    for number in range(SEGMENT_COUNT):
        lock = open(LOCK_DIRECTORY / f"banyansail-ports-{number}.lock", "w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        return lock, number
    raise OSError(f"all {SEGMENT_COUNT} port segments are locked")


def _is_free(port: int) -> bool:
    with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
        # Ports in TIME_WAIT count as free: the programs set SO_REUSEADDR as well.
        tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            return False
    return True


_process_segment: PortSegment | None = None


def free_port() -> int:
    """Return a free port for a program under test."""
    global _process_segment
    if _process_segment is None:
        _process_segment = PortSegment()
    return _process_segment.next_free()
