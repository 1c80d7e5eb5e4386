"""Order of names by rendezvous hashing, on which all routers agree without messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_names(duty: str, names: Iterable[str]) -> list[str]:
    """Sort names by rendezvous hash; the first one owns the duty."""
    return sorted(names, key=lambda name: hash64(f"{duty}/{name}"))
