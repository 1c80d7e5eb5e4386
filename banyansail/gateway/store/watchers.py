"""Which routers of a data centre watch the store, and whom the others follow."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import Feature
from banyansail.fleet.ranking import rank_names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Member

FOLLOWED_WATCHERS = 2  # so that a follower loses nothing when one of them fails
# After a failure, another router is followed instead. A router that is only slow is
# tried again before its heartbeats would end.
AVOID_TIME = timedelta(seconds=5)
# A router watches this long after it was last asked, as its followers may know of
# failures that it does not know of. Followers ask several times a second.
ASKED_TIME = timedelta(seconds=3)
RANKS_PER_WATCHER = 2  # routers that may stand in; bounds the calls in an outage


@dataclass(slots=True, frozen=True)
class WatchRole:
    """What a router does to learn of changes in the store.

    Parameters
    ----------
    is_watcher : bool
        Whether it watches the store.
    is_first : bool
        Whether it retries soon while the store refuses, so that recovery is noticed.
    followed : tuple of str
        Routers that it follows; empty for a watcher.
    is_shared : bool
        Whether the data centre is large enough to have followers.
    """

    is_watcher: bool
    is_first: bool
    followed: tuple[str, ...] = ()
    is_shared: bool = True


class WatcherChoice:
    """Choice of the watchers of this router's data centre.

    A false view costs calls to the store, never a change: a follower trusts the age of
    what it is told, whoever tells it.

    Parameters
    ----------
    name, zone : str
        Name and data centre of this router.
    count : int
        Watchers in each data centre; 0 if all routers watch.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_asked_at", "_avoided_since", "_clock", "_count", "_name", "_zone")

    def __init__(self, name: str, zone: str, count: int, clock: Clock) -> None:
        self._name = name
        self._zone = zone
        self._count = count
        self._clock = clock
        self._avoided_since: dict[str, timedelta] = {}
        self._asked_at: timedelta | None = None

    def record_failure(self, name: str) -> None:
        """Record that a router did not answer, or is out of touch with the store."""
        self._avoided_since[name] = self._clock.monotonic()

    def record_request(self) -> None:
        """Record that another router follows this one."""
        self._asked_at = self._clock.monotonic()

    def choose(self, members: Mapping[str, Member]) -> WatchRole:
        """Return the present role of this router.

        Parameters
        ----------
        members : mapping
            Live routers of the fleet by name, this one included.
        """
        in_zone = {
            name: member
            for name, member in members.items()
            if member.zone == self._zone
        }
        if len(in_zone) <= self._count or not self._count:
            return WatchRole(is_watcher=True, is_first=True, is_shared=False)
        ranked = rank_names(
            f"store/{self._zone}",
            [name for name, member in in_zone.items() if _may_watch(member)],
        )[: self._count * RANKS_PER_WATCHER]
        is_first = ranked[:1] == [self._name]
        avoided = {name for name in ranked if self._is_avoided(name)}
        usable = [name for name in ranked if name not in avoided]
        watchers = (usable + [name for name in ranked if name in avoided])[
            : self._count
        ]
        if not watchers or self._name in watchers or self._was_asked():
            return WatchRole(is_watcher=True, is_first=is_first)
        # By the name of the follower, so that the watchers have equal numbers of them.
        preferred = rank_names(f"followed/{self._name}", watchers)
        preferred.sort(key=lambda name: name in avoided)
        return WatchRole(False, is_first, tuple(preferred[:FOLLOWED_WATCHERS]))

    def _is_avoided(self, name: str) -> bool:
        since = self._avoided_since.get(name)
        if since is None:
            return False
        if self._clock.monotonic() - since < AVOID_TIME:
            return True
        del self._avoided_since[name]
        return False

    def _was_asked(self) -> bool:
        asked_at = self._asked_at
        return asked_at is not None and self._clock.monotonic() - asked_at < ASKED_TIME


def _may_watch(member: Member) -> bool:
    return (
        member.is_ready
        and not member.is_leaving
        and Feature.RELAYS_STORE_CHANGES in member.features
    )


def count_store_watchers(
    members: Mapping[str, Member], count: int, fleet_size: int
) -> int:
    """Return how many routers of the fleet call the store for each change.

    Parameters
    ----------
    members : mapping
        Live routers of the fleet by name.
    count : int
        Watchers in each data centre; 0 if all routers watch.
    fleet_size : int
        Routers of the fleet, as known from their traffic.
    """
    if not count:
        return fleet_size
    routers_by_zone = Counter(member.zone for member in members.values())
    watchers = sum(min(count, routers) for routers in routers_by_zone.values())
    return min(fleet_size, watchers)
