"""Output of log lines that never blocks the process that writes them."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

MAX_PENDING_BYTES = 256 * 1024  # a second or two of a busy log


class LogOutput:
    """Writes whole lines to a descriptor; a slow reader costs lines, not time.

    Lines that find no room are left out and counted; their number is written as a
    line of its own once there is room again.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is non-blocking until the block ends.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self._was_blocking = True
        self._is_closed = False
        self.dropped = 0

    def __enter__(self) -> LogOutput:
        self._was_blocking = os.get_blocking(self._descriptor)
        os.set_blocking(self._descriptor, False)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.flush()
        os.set_blocking(self._descriptor, self._was_blocking)

    def write(self, line: bytes) -> None:
        """Take one line, or nothing of it."""
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.flush()
        if self._is_closed or len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            self._pending += _dropped_line(self.dropped)
            self.dropped = 0
        self._pending += line

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:  # the reader is gone: nobody is left to be told
                self._is_closed = True
                self.dropped += self._pending.count(b"\n")
                self._pending.clear()
                return
            del self._pending[:written]


def _dropped_line(count: int) -> bytes:
    message = {
        "timestamp": time.time(),
        "message_type": "banyansail:log_lines_dropped",
        "count": count,
    }
    return json.dumps(message).encode() + b"\n"
