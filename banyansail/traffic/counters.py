"""Sums of counters whose sources restart, fall silent and return."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable, Mapping

    from banyansail.clock import Clock

Counters = dict[str, float]

SOURCE_TIMEOUT = timedelta(seconds=1)  # then another aggregator's sum is followed
# Between two sums of an aggregator; it may have forgotten routers in a longer time.
MAX_COMPARABLE_AGE = timedelta(seconds=12)


def add_increase(
    total: Counters, counters: Mapping[str, float], previous: Mapping[str, float]
) -> None:
    """Add the increase of counters since their previous values to a total."""
    for name, value in counters.items():
        total[name] = total.get(name, 0.0) + value - previous.get(name, 0.0)


class ProcessCounters:
    """Sum of the counters of several processes.

    Counts from before the first report of a process are in the past and not part of the
    sum, unless the process replaced one that was known: then it is new.
    """

    __slots__ = ("_last_by_name", "total")

    def __init__(self) -> None:
        self.total: Counters = {}
        self._last_by_name: dict[str, tuple[int, Counters]] = {}

    def update(self, name: str, incarnation: int, counters: Counters) -> None:
        """Add the increase of the counters of a router's process."""
        known = self._last_by_name.get(name)
        if known is None:
            previous = counters
        elif known[0] == incarnation:
            previous = known[1]
        else:
            previous = {}
        self._last_by_name[name] = (incarnation, counters)
        add_increase(self.total, counters, previous)

    def remove(self, name: str) -> None:
        """Remove a router; what it counted stays in the sum."""
        self._last_by_name.pop(name, None)


@dataclass(slots=True)
class _Source:
    """Counters of one aggregator.

    Parameters
    ----------
    baseline : dict
        Counters when the sum was last increased, by whichever source.
    """

    origin: Hashable
    received_at: timedelta
    counters: Counters
    baseline: Counters


class FollowedCounters:
    """Sum of counters that several aggregators count alike.

    One of them is followed, until it restarts or is silent for `SOURCE_TIMEOUT`. The
    others are remembered as they were when the sum last increased, so that a change to
    one of them repeats or skips no more than what was counted between two sums.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_source_by_name", "followed", "total")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._source_by_name: dict[str, _Source] = {}
        self.followed = ""  # name of the aggregator
        self.total: Counters = {}

    def update(self, name: str, origin: Hashable, counters: Counters) -> None:
        """Take the counters of an aggregator; follow it if the present one is silent.

        Parameters
        ----------
        origin : hashable
            What the counters start from, such as the incarnation of the aggregator's
            process; counters of different origins can't be compared.
        """
        now = self._clock.monotonic()
        source = self._source_by_name.get(name)
        if (
            source is None
            or source.origin != origin
            or now - source.received_at > MAX_COMPARABLE_AGE
        ):
            source = _Source(origin, now, counters, counters)
            self._source_by_name[name] = source
            if name == self.followed:
                self.followed = self._other_live_source(now) or name
        source.counters = counters
        source.received_at = now
        if name != self.followed and self._is_followed_live(now):
            return
        self.followed = name
        add_increase(self.total, counters, source.baseline)
        for other in self._source_by_name.values():
            other.baseline = other.counters

    def _is_followed_live(self, now: timedelta) -> bool:
        return self.followed in self._live_sources(now)

    def _other_live_source(self, now: timedelta) -> str | None:
        names = self._live_sources(now)
        return next((name for name in names if name != self.followed), None)

    def _live_sources(self, now: timedelta) -> list[str]:
        return [
            name
            for name, source in self._source_by_name.items()
            if now - source.received_at <= SOURCE_TIMEOUT
        ]
