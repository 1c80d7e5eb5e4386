"""Exchanges in flight at this router, by upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta


class Exchange(Protocol):
    """One request that an upstream is working on."""

    fingerprint: int

    def prepare_for_reclaim(self, notice: timedelta) -> None:
        """Take note that the upstream will be gone after a time."""


class ExchangeRegistry:
    """Knows which exchanges are in flight, and where."""

    __slots__ = ("_exchanges_by_upstream", "_lost_by_upstream")

    def __init__(self) -> None:
        self._exchanges_by_upstream: dict[str, set[Exchange]] = {}
        self._lost_by_upstream: dict[str, set[Exchange]] = {}

    def __len__(self) -> int:
        return sum(len(group) for group in self._exchanges_by_upstream.values())

    def __iter__(self) -> Iterator[Exchange]:
        for group in self._exchanges_by_upstream.values():
            yield from group

    def add(self, upstream: str, exchange: Exchange) -> None:
        """Account for an exchange that begins."""
        self._exchanges_by_upstream.setdefault(upstream, set()).add(exchange)

    def discard(self, upstream: str, exchange: Exchange) -> None:
        """Account for an exchange that has ended."""
        for groups in (self._exchanges_by_upstream, self._lost_by_upstream):
            group = groups.get(upstream)
            if group is None:
                continue
            group.discard(exchange)
            if not group:
                del groups[upstream]

    def at(self, upstream: str) -> list[Exchange]:
        """Return the exchanges at an upstream."""
        return list(self._exchanges_by_upstream.get(upstream, ()))

    def add_lost(self, upstream: str, exchange: Exchange) -> None:
        """Account for an exchange whose connection was lost after it was sent."""
        self._lost_by_upstream.setdefault(upstream, set()).add(exchange)

    def lost_fingerprints(self, upstream: str) -> set[int]:
        """Return the fingerprints of the exchanges that an upstream lost."""
        return {item.fingerprint for item in self._lost_by_upstream.get(upstream, ())}
