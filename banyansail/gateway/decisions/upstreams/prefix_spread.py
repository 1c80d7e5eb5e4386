"""Number of preferred engines of a shared prefix, by its demand at this router.

Each preferred engine prefills the prefix once, so a prefix has few of them. One with a
large part of the work has as many as keep each near the mean work (bounded loads).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

TIME_CONSTANT = timedelta(seconds=10)  # of the decay of a prefix's demand
MAX_LOAD_FACTOR = 1.25  # of the mean work, that one prefix may bring to an engine
MIN_REQUESTS = 3  # fewer are no evidence of demand
MAX_PREFIXES = 1000
SMALLEST = 0.1  # requests; demand that decayed below it is forgotten


@dataclass(slots=True)
class _Demand:
    """Decayed requests and tokens to prefill of one prefix."""

    requests: float = 0.0
    tokens: float = 0.0
    at: timedelta = timedelta(0)

    def decay(self, now: timedelta) -> None:
        share = math.exp(-((now - self.at) / TIME_CONSTANT))
        self.requests *= share
        self.tokens *= share
        self.at = now


class PrefixSpread:
    """Demand of the prefixes of one service at this router."""

    __slots__ = ("_demand_by_key", "_total")

    def __init__(self) -> None:
        self._demand_by_key: dict[str, _Demand] = {}
        self._total = _Demand()

    def record(self, key: str, tokens: int, now: timedelta) -> None:
        """Add a request of a prefix and the tokens that it leaves to prefill."""
        for demand in (self._demand_by_key.setdefault(key, _Demand()), self._total):
            demand.decay(now)
            demand.requests += 1
            demand.tokens += tokens
        if len(self._demand_by_key) > MAX_PREFIXES:
            self._forget(now)

    def share(self, key: str, now: timedelta) -> float:
        """Return the share of a prefix in the work of all; 0 without evidence."""
        demand = self._demand_by_key.get(key)
        if demand is None:
            return 0.0
        demand.decay(now)
        self._total.decay(now)
        if demand.requests < MIN_REQUESTS or not self._total.tokens:
            return 0.0
        return min(1.0, demand.tokens / self._total.tokens)

    def preferred_count(self, key: str, engines: int, now: timedelta) -> int:
        """Return how many of the engines are preferred for a prefix."""
        wanted = math.ceil(self.share(key, now) * engines / MAX_LOAD_FACTOR)
        return min(engines, max(1, wanted))

    def _forget(self, now: timedelta) -> None:
        for demand in self._demand_by_key.values():
            demand.decay(now)
        kept = sorted(self._demand_by_key.items(), key=lambda item: -item[1].requests)[
            : MAX_PREFIXES // 2
        ]
        self._demand_by_key = {
            key: demand for key, demand in kept if demand.requests > SMALLEST
        }
