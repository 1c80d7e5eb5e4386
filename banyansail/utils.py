"""Pure helpers that several packages share."""

from __future__ import annotations

import xxhash


def hash32(text: str) -> int:
    """Return a hash from 0 to 2**32 - 1 that is the same at every router."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a hash from 0 to 2**64 - 1 that is the same at every router."""
    return xxhash.xxh64_intdigest(text.encode())
