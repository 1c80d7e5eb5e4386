"""Earlier builds of the package, from the repository's history."""

from __future__ import annotations

import subprocess
import tarfile
import tomllib
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).parents[1]


class MissingBuildError(Exception):
    """The history has no such commit, as in a shallow clone."""


def production_commit() -> str:
    """Return the commit of the build that runs in production."""
    settings = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return settings["production"]


def extract_build(commit: str, folder: Path) -> Path:
    """Write the package of a commit to a folder, and return the folder.

    Raises
    ------
    MissingBuildError
        If the history has no such commit.
    """
    archive = subprocess.run(
        ["git", "archive", commit, "banyansail"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if archive.returncode != 0:
        raise MissingBuildError(f"{commit}: {archive.stderr.decode().strip()}")
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
    return folder
