"""Runs that failed once; they are played again after a change."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

PATH = Path(__file__).with_name("failed_seeds.txt")


@dataclass(slots=True, frozen=True)
class FailedSeed:
    """A run that failed once, and its cause."""

    seed: int
    minutes: float
    cause: str


def parse_failed_seeds(text: str) -> list[FailedSeed]:
    """Parse the list of runs that failed once."""
    failed = []
    for line in text.splitlines():
        if not line or line.startswith("#"):
            continue
        run, _, cause = line.partition(" | ")
        seed, minutes = run.split()
        failed.append(FailedSeed(int(seed), float(minutes), cause))
    return failed


def read_failed_seeds() -> list[FailedSeed]:
    """Read the list of runs that failed once."""
    return parse_failed_seeds(PATH.read_text(encoding="utf-8"))
