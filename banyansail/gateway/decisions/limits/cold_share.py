"""Allowance of a cold upstream, and one router's part of it.

While an upstream is cold it ends at rates well above its allowance, so all routers
together keep to it. The allowance is whole requests a second, which a few routers
send, by rendezvous hashing. A router that hears of no majority of the fleet can't tell
routers that ended from those that it is cut off from, so it uses another, smaller
allowance, divided among all routers that were ever known.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.ranking import rank_names
from banyansail.gateway.decisions.limits.sharers import has_majority

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from banyansail.gateway.upstream import Upstream

SECOND = timedelta(seconds=1)
# Routers learn of each other within about a second; until then two may claim a part.
SETTLE_TIME = timedelta(seconds=2)
MAX_SILENCE = timedelta(seconds=10)  # of the majority of the fleet
MAX_PART_AGE = timedelta(seconds=2)  # a process that was frozen divides anew first
# Of what the bound leaves above the allowance; the rest is for views that differ.
RESERVE_SHARE = 0.75
CLOCK_ERROR = timedelta(seconds=2)  # of the wall clocks of instances


@dataclass(slots=True, frozen=True)
class ColdBound:
    """Requests a second that a cold upstream may get from all routers.

    Parameters
    ----------
    over, slack : float
        Factor of its allowance, and a constant.
    """

    over: float = 1.0
    slack: float = 0.0

    def reserve(self, per_s: float) -> int:
        """Return the requests a second for routers without a majority."""
        bound = per_s * self.over + self.slack
        return int((bound - _common_parts(per_s)) * RESERVE_SHARE)


@dataclass(slots=True, frozen=True)
class FleetParts:
    """Routers among which allowances are divided, as one router knows them.

    Parameters
    ----------
    sharers : tuple of str
        Routers that send requests, if a majority of the fleet was heard of.
    known : tuple of str
        All routers ever known, if no majority has been heard of for `MAX_SILENCE`.
        If both are empty, this router sends nothing.
    expected : int
        Number of routers that there may be.
    """

    sharers: tuple[str, ...] = ()
    known: tuple[str, ...] = ()
    expected: int = 1


class FleetObserver:
    """Decides among which routers the allowances are divided.

    A router that appears counts at once, and one that disappears for `SETTLE_TIME`
    more, so that a part is given up before another router takes it. Once no majority is
    heard of, the routers stay as they were for `MAX_SILENCE`.
    """

    __slots__ = (
        "_last_majority_at",
        "_last_seen_at",
        "_majority_since",
        "_sharers",
    )

    def __init__(self) -> None:
        self._last_seen_at: dict[str, timedelta] = {}
        self._sharers: tuple[str, ...] = ()
        self._majority_since: timedelta | None = None
        self._last_majority_at: timedelta | None = None  # or first observation

    def observe(
        self,
        sending: Iterable[str],
        known: Iterable[str],
        *,
        heard: int,
        expected: int,
        now: timedelta,
    ) -> FleetParts:
        """Return the routers to divide allowances among.

        Parameters
        ----------
        sending : iterable of str
            Live routers that send requests, this one included if it does.
        known : iterable of str
            All routers ever known.
        heard : int
            Routers heard of in the last seconds, this one included.
        expected : int
            Number of routers that there may be.
        """
        known = tuple(sorted(known))
        expected = max(expected, len(known))
        sending = tuple(sending)
        self._last_seen_at.update(dict.fromkeys(sending, now))
        if has_majority(min(heard, len(sending)), expected):
            self._record_majority(now)
        elif self._last_majority_at is None:
            self._last_majority_at = now
        if now - self._last_majority_at >= MAX_SILENCE:
            self._majority_since = None
            return FleetParts((), known, expected)
        if self._majority_since is None or now - self._majority_since < SETTLE_TIME:
            return FleetParts(expected=expected)
        return FleetParts(self._sharers, (), expected)

    def _record_majority(self, now: timedelta) -> None:
        self._last_majority_at = now
        if self._majority_since is None:
            self._majority_since = now
        self._last_seen_at = {
            name: at
            for name, at in self._last_seen_at.items()
            if now - at <= SETTLE_TIME
        }
        self._sharers = tuple(sorted(self._last_seen_at))


def part_of(
    upstream: str, name: str, per_s: float, bound: ColdBound, fleet: FleetParts
) -> int:
    """Return how many of an upstream's requests a second a router may send.

    Parameters
    ----------
    upstream : str
        Name of the upstream's incarnation.
    name : str
        Name of the router.
    per_s : float
        Requests per second that the upstream bears while it is cold.
    """
    if fleet.sharers:
        return _divide(f"cold/{upstream}", name, fleet.sharers, _common_parts(per_s))
    if not fleet.known:
        return 0
    reserve = bound.reserve(per_s)
    if len(fleet.known) < fleet.expected:
        return reserve // fleet.expected
    return _divide(f"cold/{upstream}", name, fleet.known, reserve)


def _common_parts(per_s: float) -> int:
    return max(1, int(per_s))


def _divide(key: str, name: str, names: tuple[str, ...], count: int) -> int:
    ranked = rank_names(key, names)
    if name not in ranked:
        return 0
    whole, rest = divmod(count, len(ranked))
    return whole + (ranked.index(name) < rest)


class ColdShare:
    """How long one upstream is cold, and what this router may send to it meanwhile.

    Of the evidence, that which gives the longest time wins: its entry, its answers and
    its start.
    """

    __slots__ = (
        "_answered_until",
        "_entry_until",
        "_entry_version",
        "_part",
        "_part_set_at",
        "_sent_at",
        "_started_until",
        "is_known",
        "is_logged",
        "per_s",
    )

    def __init__(self) -> None:
        self._entry_until = timedelta(0)
        self._entry_version: Hashable = None
        self._answered_until = timedelta(0)
        self._started_until = timedelta(0)
        self._part = 0
        self._part_set_at = timedelta(0)
        self._sent_at: deque[timedelta] = deque()
        self.per_s = 0.0  # that it bears while it is cold; 0 if it is never cold
        self.is_logged = False  # as cold
        self.is_known = False  # whether an entry was applied

    def record_entry(self, upstream: Upstream, now: timedelta) -> None:
        """Apply the upstream's entry; each version counts once, from its arrival."""
        if not self.is_known or upstream.entry_revision != self._entry_version:
            self._entry_version = upstream.entry_revision
            self._entry_until = now + upstream.cold_left
        self.is_known = True

    def record_answer(self, left: timedelta, now: timedelta) -> None:
        """Apply what an answer says."""
        self._answered_until = now + left

    def record_start(
        self, age: timedelta | None, duration: timedelta, now: timedelta
    ) -> None:
        """Apply a start during traffic.

        Parameters
        ----------
        age : timedelta or None
            Time since the start, negative if a clock is wrong; ``None`` if unknown.
        duration : timedelta
            How long the upstream is cold from its start.
        """
        left = duration
        if age is not None and age > CLOCK_ERROR:
            left = duration - age + CLOCK_ERROR
        self._started_until = now + left

    def forget_start(self) -> None:
        """Take into account that the upstream was known before any traffic."""
        self._started_until = timedelta(0)

    def left(self, now: timedelta) -> timedelta:
        """Return how long the upstream is still cold."""
        if not self.per_s:
            return timedelta(0)
        until = max(self._entry_until, self._answered_until, self._started_until)
        return max(timedelta(0), until - now)

    def set_part(self, part: int, now: timedelta) -> None:
        """Set how many requests a second this router may send while it is cold."""
        self._part = part
        self._part_set_at = now

    def record_request(self, now: timedelta) -> None:
        """Record that a request is sent to the upstream, whether it is cold or not."""
        if self.per_s:
            self._forget_sent(now)
            self._sent_at.append(now)

    def is_open(self, now: timedelta) -> bool:
        """Return whether a request may be sent now."""
        if not self.left(now):
            return True
        if now - self._part_set_at > MAX_PART_AGE:
            return False
        self._forget_sent(now)
        return len(self._sent_at) < self._part

    def capped(self, per_s: float, now: timedelta) -> float:
        """Return a rate, at most as high as this router may send."""
        if not self.left(now):
            return per_s
        return min(per_s, self._part * (SECOND / self._window()))

    def _window(self) -> timedelta:
        """Return the time in which the part is sent, a second or more."""
        return SECOND / min(1.0, self.per_s)

    def _forget_sent(self, now: timedelta) -> None:
        window = self._window()
        while self._sent_at and now - self._sent_at[0] >= window:
            self._sent_at.popleft()
