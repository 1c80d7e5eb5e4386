"""Limit that an upstream names for all routers together, and one router's part of it.

A few routers, which all know by rendezvous hashing, share the limit and send at regular
intervals; the others send nothing. So the sum stays near the limit however many
routers there are, without an agreement about single requests.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.ranking import rank_names
from banyansail.gateway.decisions.limits.sharers import has_majority
from banyansail.traffic.report import NamedLimit

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

MIN_PER_S = 0.1  # an upstream that takes nothing is asked whether it does again
SPARE_SHARERS = 2  # besides one for each request a second
REPORT_TIME = timedelta(seconds=5)  # after the answer that named a limit, or its end
MAX_SILENCE = timedelta(seconds=10)  # of those who share a limit
SILENT_SHARE = 0.25  # of a limit, for all others together after such a silence
SECOND = timedelta(seconds=1)


class RateLimit:
    """Limit of one upstream, as this router knows it and keeps to its part.

    Parameters
    ----------
    random : Random
        Draws when the first request may be sent, so that routers do not coincide.
    """

    __slots__ = (
        "_ended_at",
        "_known_at",
        "_named_at",
        "_part",
        "_random",
        "_ready_at",
        "per_s",
    )

    def __init__(self, random: Random) -> None:
        self._random = random
        self._part = 0.0  # of the limit, from 0 to 1
        self._ready_at = timedelta(0)
        self._known_at = timedelta(0)  # when the upstream said so, to any router
        self._named_at: timedelta | None = None  # the same, to this router
        self._ended_at: timedelta | None = None  # when it named no limit any more
        self.per_s: float | None = None  # requests per second; None for no limit

    def record_answer(self, per_s: float | None, now: timedelta) -> bool:
        """Apply what an answer names; return whether that changes the limit."""
        is_changed = self._set(per_s, now)
        if per_s is not None or self._has_ended_lately(now):
            self._named_at = now
        return is_changed

    def merge(self, named: NamedLimit, now: timedelta) -> bool:
        """Apply what another router was told; return whether that changes the limit."""
        said_at = now - named.age
        return said_at > self._known_at and self._set(named.per_s, said_at)

    def _set(self, per_s: float | None, said_at: timedelta) -> bool:
        self._known_at = said_at
        if per_s == self.per_s:
            return False
        if self.per_s is None:
            self._part = 0.0
        if per_s is None:
            self._ended_at = said_at
        self.per_s = per_s
        return True

    def _has_ended_lately(self, now: timedelta) -> bool:
        return self._ended_at is not None and now - self._ended_at <= REPORT_TIME

    def report(self, now: timedelta) -> NamedLimit | None:
        """Return what this router was told itself, for the others."""
        if self._named_at is None or now - self._named_at > REPORT_TIME:
            return None
        return NamedLimit(self.per_s, now - self._named_at)

    def share_among(
        self,
        upstream: str,
        name: str,
        routers: Sequence[str],
        now: timedelta,
        known: int = 0,
    ) -> None:
        """Set this router's part.

        Without a majority, others may share the limit among themselves, so that this
        router uses an equal part of the whole fleet's.

        Parameters
        ----------
        upstream : str
            Name of the upstream's incarnation.
        name : str
            Name of this router.
        routers : sequence of str
            Routers that take requests, this one included.
        known : int
            Number of routers that there may be.
        """
        if self.per_s is None:
            return
        sharers = min(len(routers), int(self.per_s) + 1 + SPARE_SHARERS)
        part = 0.0
        if not has_majority(len(routers), known):
            part = 1 / known
        elif name in rank_names(f"limit/{upstream}", routers)[:sharers]:
            part = 1 / sharers
        elif now - self._known_at > MAX_SILENCE:
            part = SILENT_SHARE / len(routers)
        if part == self._part:
            return
        had_part, self._part = bool(self._part), part
        if part:
            delay = self._interval() * (1.0 if had_part else self._random.random())
            self._ready_at = now + delay

    def record_request(self, now: timedelta) -> None:
        """Record that a request is sent to the upstream."""
        if self.per_s is not None and self._part:
            self._ready_at = now + self._interval()

    def is_open(self, now: timedelta) -> bool:
        """Return whether a request may be sent now."""
        return self.per_s is None or (self._part > 0 and now >= self._ready_at)

    def capped(self, per_s: float) -> float:
        """Return a rate, at most as high as this router may send."""
        if self.per_s is None:
            return per_s
        return min(per_s, self._own_per_s())

    def _own_per_s(self) -> float:
        return max(self.per_s, MIN_PER_S) * self._part

    def _interval(self) -> timedelta:
        return SECOND / self._own_per_s()
