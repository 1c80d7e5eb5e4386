"""Use of a service by workspaces, as virtual times that the whole fleet advances.

Start-time fair queueing gives each workspace a tag: the work that was assigned to it,
divided by its weight. The one with the lowest tag is served next. A router sees a small
part of the load, so the work that other routers report advances the tags as well. A
report that is late or lost makes the order less fair and has no other effect.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from banyansail.clock import Clock

# A workspace that was idle gets at most what the busiest one got in this time before
# the two are served alike. Reports take 0.4 to 0.8 s.
CREDIT_TIME = timedelta(seconds=1)
SNAPSHOT_INTERVAL = timedelta(milliseconds=200)
# Own work that may not be in the reports of the others yet is multiplied by the number
# of routers, as the others probably serve the same workspaces after the same report.
REPORT_INTERVAL = timedelta(milliseconds=400)
USE_HALF_LIFE = timedelta(seconds=2)  # of the use that is shown to operators
MIN_ACTIVE_USE = 0.01  # of the total use; workspaces below it have no part in shares


@dataclass(slots=True, frozen=True)
class ShareUse:
    """Part of a service's recent work that a workspace got, and its share of it.

    Parameters
    ----------
    use, share : float
        Fractions of the work that the fleet assigned in the last seconds.
    fleet_age : timedelta or None
        Age of the other routers' figures; ``None`` if none were received.
    """

    workspace: str
    use: float
    share: float
    fleet_age: timedelta | None


@dataclass(slots=True)
class _Account:
    """Use of one workspace.

    Parameters
    ----------
    tag : float
        Virtual time at which its next request starts, by the work that all routers may
        know of.
    new_work, earlier_work : float
        Own work of the current and of the previous interval of reports.
    request_work : float
        Own work of its last request.
    offset : float
        Part of a request, from 0 to 1, that counts as assigned by each other router.
    recent, recent_at
        Decayed work, and the time as of which it is decayed.
    """

    weight: float
    tag: float = 0.0
    new_work: float = 0.0
    earlier_work: float = 0.0
    request_work: float = 0.0
    offset: float = 0.0
    recent: float = 0.0
    recent_at: timedelta = timedelta(0)


class WorkShares:
    """Virtual times of the workspaces that use one service.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of the offsets by which routers choose unlike after the same report.
    weight_by_workspace : mapping
        Weights of the configuration; 1 for a workspace that is not listed.
    """

    __slots__ = (
        "_account_by_workspace",
        "_cached_at",
        "_cached_use",
        "_changed_at",
        "_clock",
        "_fleet_at",
        "_fleet_totals",
        "_max_tag",
        "_random",
        "_rolled_at",
        "_snapshots",
        "_virtual_time",
        "_weight_by_workspace",
        "assigned_by_workspace",
        "routers",
    )

    def __init__(
        self, clock: Clock, random: Random, weight_by_workspace: Mapping[str, float]
    ) -> None:
        self._clock = clock
        self._random = random
        self._weight_by_workspace = weight_by_workspace
        self._account_by_workspace: dict[str, _Account] = {}
        self._snapshots: deque[tuple[timedelta, float]] = deque()
        self._virtual_time = 0.0
        self._max_tag = 0.0
        self._changed_at = self._rolled_at = clock.monotonic()
        self.routers = 1  # of the fleet
        self._fleet_totals: dict[str, float] = {}
        self._cached_at: timedelta | None = None
        self._cached_use: dict[str, ShareUse] = {}
        self._fleet_at: timedelta | None = None
        # Work that this router assigned since it started.
        self.assigned_by_workspace: dict[str, float] = {}

    @property
    def workspaces(self) -> int:
        """Number of the workspaces that use the service."""
        return len(self._account_by_workspace)

    @property
    def fleet_age(self) -> timedelta | None:
        """Age of the other routers' figures; ``None`` if none were received."""
        if self._fleet_at is None:
            return None
        return self._clock.monotonic() - self._fleet_at

    def observe(self, workspace: str, weight: float) -> None:
        """Take note of a workspace that uses the service, and of its weight."""
        self._account(workspace).weight = weight

    def tag(self, workspace: str) -> float:
        """Return the virtual time at which the workspace's next request starts."""
        self._advance()
        account = self._account(workspace)
        own = account.new_work + account.earlier_work
        others = (own + account.offset * account.request_work) * (self.routers - 1)
        start = max(self._virtual_time, account.tag)
        return start + (own + others) / account.weight

    def charge(self, workspace: str, work: float) -> None:
        """Record work that this router assigned."""
        self._advance()
        account = self._account(workspace)
        account.new_work += work
        account.request_work = work
        self._record_recent(account, work)
        assigned = self.assigned_by_workspace.get(workspace, 0.0)
        self.assigned_by_workspace[workspace] = assigned + work

    def record_fleet_work(self, total_by_workspace: Mapping[str, float]) -> None:
        """Advance the virtual times by the work that other routers assigned.

        Parameters
        ----------
        total_by_workspace : mapping
            Totals of the other routers; the first ones are a baseline.
        """
        self._advance()
        is_first = self._fleet_at is None
        for workspace, total in total_by_workspace.items():
            added = total - self._fleet_totals.get(workspace, 0.0)
            self._fleet_totals[workspace] = total
            if added > 0 and not is_first:
                account = self._account(workspace)
                self._add(account, added)
                self._record_recent(account, added)
            else:
                self._account(workspace)
        self._fleet_at = self._clock.monotonic()

    def share_use(self, workspace: str) -> ShareUse:
        """Return a workspace's use and share, at most `SNAPSHOT_INTERVAL` old."""
        now = self._clock.monotonic()
        if self._cached_at is None or now - self._cached_at >= SNAPSHOT_INTERVAL:
            self._cached_at = now
            self._cached_use = {item.workspace: item for item in self.share_uses()}
        use = self._cached_use.get(workspace)
        return use or ShareUse(workspace, 0.0, 0.0, self.fleet_age)

    def share_uses(self) -> list[ShareUse]:
        """Return the use and share of each workspace that was active recently."""
        now = self._clock.monotonic()
        recent = {
            name: _decayed(account, now)
            for name, account in self._account_by_workspace.items()
        }
        total = sum(recent.values())
        if total <= 0:
            return []
        active = [name for name in recent if recent[name] >= total * MIN_ACTIVE_USE]
        weights = sum(self._account_by_workspace[name].weight for name in active)
        age = self.fleet_age
        return [
            ShareUse(
                name,
                recent[name] / total,
                self._account_by_workspace[name].weight / weights,
                age,
            )
            for name in active
        ]

    def _add(self, account: _Account, work: float) -> None:
        account.tag = max(self._virtual_time, account.tag) + work / account.weight
        self._max_tag = max(self._max_tag, account.tag)
        self._changed_at = self._clock.monotonic()

    def _record_recent(self, account: _Account, work: float) -> None:
        now = self._clock.monotonic()
        account.recent = _decayed(account, now) + work
        account.recent_at = now

    def _roll(self, now: timedelta) -> None:
        """Count own work as known to all once it is two intervals of reports old."""
        self._rolled_at = now
        for account in self._account_by_workspace.values():
            if account.earlier_work:
                self._add(account, account.earlier_work)
            account.earlier_work = account.new_work
            account.new_work = 0.0
            account.offset = self._random.random()

    def _advance(self) -> None:
        """Set the virtual time to the highest tag as of `CREDIT_TIME` ago."""
        now = self._clock.monotonic()
        if now - self._rolled_at >= REPORT_INTERVAL:
            self._roll(now)
        snapshots = self._snapshots
        if now - self._changed_at >= CREDIT_TIME:
            snapshots.clear()
            self._virtual_time = self._max_tag
        if not snapshots or now - snapshots[-1][0] >= SNAPSHOT_INTERVAL:
            snapshots.append((now, self._max_tag))
        while snapshots and now - snapshots[0][0] >= CREDIT_TIME:
            self._virtual_time = snapshots.popleft()[1]

    def _account(self, workspace: str) -> _Account:
        account = self._account_by_workspace.get(workspace)
        if account is None:
            weight = self._weight_by_workspace.get(workspace, 1.0)
            account = _Account(weight, recent_at=self._clock.monotonic())
            self._account_by_workspace[workspace] = account
        return account


def _decayed(account: _Account, now: timedelta) -> float:
    return account.recent * 0.5 ** ((now - account.recent_at) / USE_HALF_LIFE)
