"""Which routers may draw on an allowance that the whole fleet shares.

Each router takes an equal part, so a number that is too small lets the fleet exceed the
allowance, and one that is too large leaves a part of it unused. A router that is not
heard of may be at work behind a cut, so it counts as long as it is registered.

The list of routers in the store decides. A router that has just registered uses nothing
until every other one has read the list and has counted it for a window; it is admitted
then, which its entry says, so that a restart need not wait again. A router whose own
list may be outdated uses nothing either, unless it hears of all others.
"""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from banyansail.clock import Clock

# Of the list of routers, and of signs of life that replace it.
LIST_VALIDITY = timedelta(seconds=5)
MAX_UPDATE_INTERVAL = timedelta(seconds=2)  # exceeded if the process was frozen
# After the start of this router, for entries of builds that never remove them. By then
# it has heard of all that run, unless it is cut off.
REGISTERED_TIME = timedelta(minutes=2)
LEFT_TIME = timedelta(minutes=1)  # then a router that said that it stops has ended
UNHEARD_TIME = timedelta(hours=1)  # then a router that is not heard of has ended


class Admission(Enum):
    """What a router's entry in the store says of its part in shared allowances."""

    UNSTATED = "unstated"  # written by a build that does not know admissions
    PENDING = "pending"
    ADMITTED = "admitted"


def has_majority(heard: int, known: int) -> bool:
    """Return whether the routers that are heard of are most of those there may be."""
    return heard * 2 > known


class Sharers:
    """Routers that may draw on an allowance, as one router knows them.

    Parameters
    ----------
    name : str
        Name of this router.
    clock : Clock
        Source of time.
    window : timedelta
        Time over which the allowance is counted. What a router that left has used
        counts for as long.
    """

    __slots__ = (
        "_admission_by_name",
        "_admitted_names",
        "_clock",
        "_is_current",
        "_known_since",
        "_listed_at_by_name",
        "_name",
        "_removed_at_by_name",
        "_settle_time",
        "_started_at",
        "_unstated_names",
        "_updated_at",
        "_window",
    )

    def __init__(self, name: str, clock: Clock, window: timedelta) -> None:
        self._name = name
        self._clock = clock
        self._window = window
        # After a change of the list; what any router used before counts no more then.
        self._settle_time = LIST_VALIDITY + MAX_UPDATE_INTERVAL + window
        self._started_at = self._updated_at = clock.monotonic()
        self._admission_by_name: dict[str, Admission] = {}
        self._admitted_names: frozenset[str] = frozenset()
        self._unstated_names: frozenset[str] = frozenset()
        self._listed_at_by_name: dict[str, timedelta] = {}  # first seen here
        self._removed_at_by_name: dict[str, timedelta] = {}  # from the store's list
        self._is_current = False
        # Since then the others count this router, or learn of it in time.
        self._known_since: timedelta | None = None

    def record_registered(self, admission_by_name: Mapping[str, Admission]) -> None:
        """Replace the routers that are registered in the store."""
        now = self._clock.monotonic()
        for name in self._admission_by_name.keys() - admission_by_name.keys():
            del self._listed_at_by_name[name]
            self._removed_at_by_name[name] = now
        for name in admission_by_name:
            self._listed_at_by_name.setdefault(name, now)
        self._admission_by_name = dict(admission_by_name)
        self._admitted_names = self._names_with(Admission.ADMITTED)
        self._unstated_names = self._names_with(Admission.UNSTATED)

    def _names_with(self, admission: Admission) -> frozenset[str]:
        return frozenset(
            name
            for name, stated in self._admission_by_name.items()
            if stated is admission
        )

    def update(
        self, list_age: timedelta, silence_by_name: Mapping[str, timedelta]
    ) -> None:
        """Take note of what this router knows; to be called often.

        Parameters
        ----------
        list_age : timedelta
            Time since the list in the store was known to be current.
        silence_by_name : mapping
            Time since the last sign of life of each router that was heard of.
        """
        now = self._clock.monotonic()
        for name, removed_at in list(self._removed_at_by_name.items()):
            if now - removed_at > self._settle_time:
                del self._removed_at_by_name[name]
        has_list = list_age <= LIST_VALIDITY
        self._is_current = has_list or self._hears_all(silence_by_name)
        was_frozen = now - self._updated_at > MAX_UPDATE_INTERVAL
        if was_frozen or not (has_list and self._is_known(silence_by_name)):
            self._known_since = None
        elif self._known_since is None:
            self._known_since = now
        self._updated_at = now

    def _hears_all(self, silence_by_name: Mapping[str, timedelta]) -> bool:
        """Return whether all others that are registered are heard of, if there are any.

        They would have passed on what they hear of a router that is not known here.
        """
        others = self._admission_by_name.keys() - {self._name}
        return bool(others) and all(_is_heard(name, silence_by_name) for name in others)

    def _is_known(self, silence_by_name: Mapping[str, timedelta]) -> bool:
        """Return whether the others learn of this router, by the list or by hearing."""
        if self._name not in self._admission_by_name:
            return False
        admitted = self._admitted_names - {self._name}
        return not admitted or any(
            _is_heard(name, silence_by_name) for name in admitted
        )

    @property
    def is_admissible(self) -> bool:
        """Whether all others have counted this router for a window."""
        if self._known_since is None:
            return False
        known_for = self._clock.monotonic() - self._known_since
        return known_for >= self._settle_time

    @property
    def may_use(self) -> bool:
        """Whether this router may use its part of the allowance."""
        update_age = self._clock.monotonic() - self._updated_at
        if not self._is_current or update_age > MAX_UPDATE_INTERVAL:
            return False
        return self._name in self._admitted_names

    def names(
        self, heard: Iterable[str], silence_by_leaving: Mapping[str, timedelta]
    ) -> frozenset[str]:
        """Return the names of all routers that may be at work.

        Parameters
        ----------
        heard : iterable of str
            Routers that were heard of, live or not.
        silence_by_leaving : mapping
            Time since the last sign of life of those that said that they stop.
        """
        left = {
            name
            for name, silence in silence_by_leaving.items()
            if silence > self._window
        }
        stated = self._admission_by_name.keys() - self._unstated_names
        may_be_at_work = frozenset(heard)
        if self._clock.monotonic() - self._started_at < REGISTERED_TIME:
            may_be_at_work |= self._unstated_names
        return (may_be_at_work - left).union(stated, self._removed_at_by_name)

    def ended(
        self,
        silence_by_name: Mapping[str, timedelta],
        silence_by_leaving: Mapping[str, timedelta],
    ) -> list[str]:
        """Return the registered routers that have ended, so that they count no more.

        One that is at work nevertheless finds its entry missing and registers again.
        """
        now = self._clock.monotonic()
        return [
            name
            for name, listed_at in self._listed_at_by_name.items()
            if name != self._name
            and (
                silence_by_leaving.get(name, timedelta(0)) > LEFT_TIME
                or min(silence_by_name.get(name, timedelta.max), now - listed_at)
                > UNHEARD_TIME
            )
        ]


def _is_heard(name: str, silence_by_name: Mapping[str, timedelta]) -> bool:
    return silence_by_name.get(name, timedelta.max) <= LIST_VALIDITY
