"""Exchanges in flight at this router, by upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator
    from datetime import timedelta


class InFlightExchange(Protocol):
    """One request that an upstream is processing."""

    fingerprint: int

    def prepare_for_reclaim(self, notice: timedelta) -> None:
        """React to the notice that the upstream will be reclaimed after a time."""


class ExchangeRegistry:
    """Exchanges in flight and those whose connection was lost, by upstream."""

    __slots__ = ("_exchanges_by_upstream", "_lost_by_upstream")

    def __init__(self) -> None:
        self._exchanges_by_upstream: dict[str, set[InFlightExchange]] = {}
        self._lost_by_upstream: dict[str, set[InFlightExchange]] = {}

    def __len__(self) -> int:
        return sum(len(exchanges) for exchanges in self._exchanges_by_upstream.values())

    def __iter__(self) -> Iterator[InFlightExchange]:
        for exchanges in self._exchanges_by_upstream.values():
            yield from exchanges

    def add(self, upstream: str, exchange: InFlightExchange) -> None:
        """Add an exchange that is sent to an upstream."""
        self._exchanges_by_upstream.setdefault(upstream, set()).add(exchange)

    def discard(self, upstream: str, exchange: InFlightExchange) -> None:
        """Remove an exchange whose attempt has ended."""
        for exchanges_by_upstream in (
            self._exchanges_by_upstream,
            self._lost_by_upstream,
        ):
            exchanges = exchanges_by_upstream.get(upstream)
            if exchanges is None:
                continue
            exchanges.discard(exchange)
            if not exchanges:
                del exchanges_by_upstream[upstream]

    def exchanges_at(self, upstream: str) -> list[InFlightExchange]:
        """Return the exchanges in flight at an upstream."""
        return list(self._exchanges_by_upstream.get(upstream, ()))

    def add_connection_lost(self, upstream: str, exchange: InFlightExchange) -> None:
        """Mark an exchange whose connection was lost after it was sent."""
        self._lost_by_upstream.setdefault(upstream, set()).add(exchange)

    def lost_fingerprints(self, upstream: str) -> set[int]:
        """Return the fingerprints of exchanges whose connection was lost."""
        return {item.fingerprint for item in self._lost_by_upstream.get(upstream, ())}
