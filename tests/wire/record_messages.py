"""Writes the messages of an earlier build, by its own encoders.

Usage: python -m tests.wire.record_messages COMMIT
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.builds import extract_build
from tests.wire import samples

RECORDED = Path(__file__).with_name("recorded")


def record(commit: str, output: Path) -> None:
    """Run the encoders of a commit and write what they return to a folder."""
    with tempfile.TemporaryDirectory() as folder:
        build = extract_build(commit, Path(folder))
        subprocess.run(
            [sys.executable, samples.__file__, str(output)],
            cwd=build,
            env={**os.environ, "PYTHONPATH": str(build)},
            check=True,
        )


if __name__ == "__main__":
    record(sys.argv[1], RECORDED / sys.argv[1])
