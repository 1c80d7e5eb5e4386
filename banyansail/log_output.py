"""Non-blocking output of log lines."""

from __future__ import annotations

import json
import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

MAX_BUFFERED_BYTES = 256 * 1024  # 1 to 2 s of a busy log


class LogOutput:
    """Writes whole lines to a file descriptor without blocking on a slow reader.

    Lines that do not fit into the buffer are dropped and counted; the count is written
    as a separate line once there is room again.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is non-blocking within the context.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._was_blocking = True
        self._is_closed = False
        self.dropped_count = 0

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
        """Buffer a line, or drop it as a whole."""
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.flush()
        if self._is_closed or len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        if self.dropped_count:
            self._buffer += _encode_dropped_count(self.dropped_count)
            self.dropped_count = 0
        self._buffer += line

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:  # the reader closed its end: drop everything from now on
                self._is_closed = True
                self.dropped_count += self._buffer.count(b"\n")
                self._buffer.clear()
                return
            del self._buffer[:written]


def _encode_dropped_count(count: int) -> bytes:
    message = {
        "timestamp": time.time(),
        "message_type": "banyansail:log_lines_dropped",
        "count": count,
    }
    return json.dumps(message).encode() + b"\n"
