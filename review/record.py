"""The record of a case: what was sent, answered and run, a line each."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines of time, event and details; also keeps them.

    Parameters
    ----------
    path : Path
        File to write.
    """

    def __init__(self, path: Path) -> None:
        self._started_at = time.time()
        self._file = path.open("w", encoding="utf-8")
        self.lines: list[tuple[float, str, tuple[str, ...]]] = []

    def write(self, event: str, *details: object) -> float:
        """Write a line; return its time in seconds since the start."""
        at = time.time() - self._started_at
        texts = tuple(str(item) for item in details)
        self.lines.append((at, event, texts))
        print(f"{at:9.3f} {event} {' '.join(texts)}", file=self._file, flush=True)
        return at

    def close(self) -> None:
        """Close the file."""
        self._file.close()
