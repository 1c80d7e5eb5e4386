"""Pure helper functions used by several packages."""

from __future__ import annotations

import xxhash


def hash32(text: str) -> int:
    """Return a 32-bit hash that is the same at every router."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a 64-bit hash that is the same at every router."""
    return xxhash.xxh64_intdigest(text.encode())
