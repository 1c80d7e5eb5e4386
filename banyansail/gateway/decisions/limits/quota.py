"""Rate limits of workspaces, shared by all routers.

Each router keeps a token bucket per workspace for the whole fleet. Its own use is
charged immediately, use by other routers when reports of it arrive: a peer is another
router, or all the others if their use is reported as a sum. Between two reports of a
peer, its recent rate of use is assumed to continue. A bucket is refilled before any use
is charged, so that time in which it was full does not offset later use.

All routers see the same level and admit requests until they hear of each other. So that
they do not each spend all that is left, they also report what they reject, and each
admits the share of the requests for which there is room in the meantime.

Operators tolerate some use beyond a quota. While reports from all routers are recent,
part of that tolerance is spent so that no request is rejected because of use that is
only estimated, or because it arrives slightly too early.

A router that starts has no record of earlier use, so its buckets start empty, and
routers that it has not heard of yet are suspect.
While some routers are suspect, the others together use only their proportion of the
quota, so that the parts of a partitioned fleet do not each spend all of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.limits.asked_rate import PeerAskedRate
from banyansail.gateway.decisions.limits.quota_bucket import (
    PEER_EXPIRY,
    SECOND,
    SUSPECT_AFTER,
    Bucket,
    PeerUse,
    QuotaState,
    Room,
)

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.site import Workspace

OVERDRAFT_SHARE = 0.5  # of the tolerated use; the rest covers unreported use
SETTLE_TIME = timedelta(seconds=8)  # after the start; then all peers have reported
# In which all routers hear of requests that one of them admits.
HEARING_TIME = timedelta(seconds=1)
LOW_LEVEL_SHARE = 0.6  # of a burst; below this, routers report their use more often
# A request that costs more than the burst and the rate of this time is rejected.
MAX_COST_TIME = timedelta(seconds=8)
MAX_RETRY_AFTER = timedelta(seconds=3)
MIN_RETRY_AFTER = timedelta(milliseconds=50)


@dataclass(slots=True, frozen=True)
class OverQuota:
    """Reason why a quota rejects a request, with the state of its bucket.

    Parameters
    ----------
    retry_after : timedelta
        Time after which the quota allows a request again.
    level : float
        Quota left according to the reported use.
    unreported_use : float
        Estimated use by other routers since their last report.
    """

    retry_after: timedelta
    level: float
    unreported_use: float


class QuotaLimiter:
    """Token buckets of all workspaces at one router.

    Parameters
    ----------
    clock, random : object
        Sources of time and randomness.
    slack : float
        Use beyond a quota that operators tolerate within a few seconds, in the unit
        of the quota.
    known_routers : int
        Routers that there may be, this one included; 0 while that is not known, when
        no bucket is refilled.
    """

    __slots__ = (
        "_bucket_by_name",
        "_clock",
        "_overdraft",
        "_random",
        "_started_at",
        "has_urgent_use",
        "known_routers",
        "rejected_by_workspace",
        "used_by_workspace",
        "workspace_by_name",
    )

    def __init__(
        self,
        clock: Clock,
        random: Random,
        slack: float = 0.0,
        known_routers: int = 1,
    ) -> None:
        self._clock = clock
        self._random = random
        self._started_at = clock.monotonic()
        self._overdraft = slack * OVERDRAFT_SHARE
        self._bucket_by_name: dict[str, Bucket] = {}
        self.used_by_workspace: dict[str, float] = {}
        self.rejected_by_workspace: dict[str, float] = {}
        self.workspace_by_name: Mapping[str, Workspace] = {}  # of the configuration
        self.known_routers = known_routers
        # Whether to report this router's use at once, as a quota is nearly used up.
        self.has_urgent_use = False

    def charge(self, workspace: Workspace, cost: float) -> OverQuota | None:
        """Charge the cost of a request; return a reason if it must be rejected."""
        if workspace.rate <= 0:
            return None
        bucket = self._refill(workspace)
        if cost > workspace.burst + workspace.rate * (MAX_COST_TIME / SECOND):
            return OverQuota(MAX_RETRY_AFTER, bucket.level, bucket.unreported_use)
        bucket.own_asked.record(cost, bucket.refilled_at)
        level = bucket.level - bucket.unreported_use
        if self._is_all_use_reported(bucket):
            level += self._overdraft
        room = self._room(workspace, bucket, level)
        if level <= 0 or self._random.random() >= room.share:
            bucket.rejected += 1
            bucket.is_tight = True
            rejected = self.rejected_by_workspace.get(workspace.name, 0.0)
            self.rejected_by_workspace[workspace.name] = rejected + cost
            missing = max(-level, room.asked - room.left)
            return OverQuota(
                _retry_after(workspace, missing), bucket.level, bucket.unreported_use
            )
        bucket.level -= cost
        bucket.admitted += 1
        if level - cost < workspace.burst * LOW_LEVEL_SHARE or room.share < 1:
            self.has_urgent_use = bucket.is_tight = True
        used = self.used_by_workspace.get(workspace.name, 0.0)
        self.used_by_workspace[workspace.name] = used + cost
        return None

    def charge_run(self, workspace: Workspace, cost: float) -> None:
        """Charge a further run of a request that was admitted before."""
        if workspace.rate <= 0:
            return
        self._refill(workspace).level -= cost
        used = self.used_by_workspace.get(workspace.name, 0.0)
        self.used_by_workspace[workspace.name] = used + cost

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Refund the cost of a request that did not run."""
        if workspace.rate <= 0:
            return
        bucket = self._refill(workspace)
        bucket.level += cost
        self.used_by_workspace[workspace.name] -= cost

    def merge_peer_use(
        self,
        peer: str,
        incarnation: int,
        total_by_workspace: Mapping[str, float],
        rejected_by_workspace: Mapping[str, float] = MappingProxyType({}),
        *,
        routers: int = 1,
        silent_routers: int = 0,
    ) -> None:
        """Charge the use that a peer reported since its last report.

        Parameters
        ----------
        total_by_workspace : mapping
            Use by the peer's process since its start.
        rejected_by_workspace : mapping
            What quotas rejected there since its start.
        routers, silent_routers : int
            Routers for which the peer reports, and how many of them are silent.
        """
        now = self._clock.monotonic()
        for name in total_by_workspace.keys() | rejected_by_workspace.keys():
            total = total_by_workspace.get(name, 0.0)
            workspace = self.workspace_by_name.get(name)
            bucket = self._refill(workspace) if workspace else self._bucket(name)
            asked = total + rejected_by_workspace.get(name, 0.0)
            use = bucket.use_by_peer.get(peer)
            if use is None or use.incarnation != incarnation:
                # Use before the first report of a peer is in the past and not charged,
                # except if the peer is a process that has just been restarted.
                bucket.level -= 0.0 if use is None else total
                bucket.use_by_peer[peer] = PeerUse(
                    incarnation,
                    total,
                    now,
                    routers,
                    silent_routers,
                    PeerAskedRate(asked),
                )
                continue
            bucket.level -= use.record(total, asked, now, routers, silent_routers)

    def pop_tight_states(self) -> dict[str, QuotaState]:
        """Return the quotas that were low or rejected requests since the last call."""
        states = {}
        for name, bucket in self._bucket_by_name.items():
            if bucket.is_tight:
                states[name] = self._state(name, bucket)
                bucket.is_tight = False
            bucket.admitted = bucket.rejected = 0
        return states

    def _state(self, name: str, bucket: Bucket) -> QuotaState:
        now = self._clock.monotonic()
        ages = [now - use.received_at for use in bucket.use_by_peer.values()]
        routers, suspects = self._count_routers(bucket, now)
        return QuotaState(
            bucket.level,
            bucket.unreported_use,
            min(ages, default=None),
            self.used_by_workspace.get(name, 0.0),
            bucket.admitted,
            bucket.rejected,
            routers,
            suspects,
            self.known_routers,
        )

    def _refill(self, workspace: Workspace) -> Bucket:
        now = self._clock.monotonic()
        bucket = self._bucket(workspace.name)
        share = self._responsive_share(bucket, now)
        gained = workspace.rate * share * ((now - bucket.refilled_at) / SECOND)
        bucket.remove_expired_peers(now)
        bucket.unreported_use = sum(
            use.unreported_use(now) for use in bucket.use_by_peer.values()
        )
        # `charge` subtracts the unreported use, so the level may exceed the burst.
        full = workspace.burst + bucket.unreported_use
        bucket.level = min(full, bucket.level + gained)
        bucket.refilled_at = now
        return bucket

    def _bucket(self, name: str) -> Bucket:
        bucket = self._bucket_by_name.get(name)
        if bucket is None:
            bucket = self._bucket_by_name[name] = Bucket(0.0, self._started_at)
        return bucket

    def _is_all_use_reported(self, bucket: Bucket) -> bool:
        is_settled = bucket.refilled_at - self._started_at >= SETTLE_TIME
        return is_settled and self._responsive_share(bucket, bucket.refilled_at) == 1.0

    def _room(self, workspace: Workspace, bucket: Bucket, level: float) -> Room:
        """Return what all routers may use, and are asked for, before they hear of it.

        All of them see the same level and admit requests until they hear of each other.
        Use by this router itself is known at once.
        """
        now = bucket.refilled_at
        share = self._responsive_share(bucket, now)
        own = bucket.own_asked.per_s(now)
        others = bucket.asked_of_others(own)
        if others <= 0 and share == 1.0:
            return Room(level, 0.0)
        routers = sum(use.routers for use in bucket.use_by_peer.values())
        rise = bucket.own_asked.rise(others / max(1, routers), now)
        others *= rise
        asked = others + own
        seconds = HEARING_TIME / SECOND
        if share == 1.0:
            seconds *= others / asked
        left = level - bucket.unreported_use * (rise - 1)
        left += workspace.rate * share * seconds
        return Room(left, asked * seconds)

    def _responsive_share(self, bucket: Bucket, now: timedelta) -> float:
        """Return the share of the routers, this one included, that are not suspect."""
        if self.known_routers == 0:
            return 0.0
        routers, suspects = self._count_routers(bucket, now)
        return (routers - suspects) / routers

    def _count_routers(self, bucket: Bucket, now: timedelta) -> tuple[int, int]:
        """Return the routers that share a quota, and how many of them are suspect."""
        routers = 1
        suspects = 0
        for use in bucket.use_by_peer.values():
            is_recent = now - use.received_at <= SUSPECT_AFTER
            routers += use.routers
            suspects += use.silent_routers if is_recent else use.routers
        is_young = now - self._started_at < PEER_EXPIRY
        if is_young or routers == 1:  # else those that are not heard of have ended
            unheard = max(0, self.known_routers - routers)
            routers += unheard
            suspects += unheard
        return routers, suspects


def _retry_after(workspace: Workspace, missing: float) -> timedelta:
    """Return the time in which the rate makes up for what is missing."""
    wait = timedelta(seconds=missing / workspace.rate)
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait))


def cost_of(workspace: Workspace, tokens: int | None) -> float:
    """Return the cost of a request in the unit of its workspace's quota.

    Parameters
    ----------
    tokens : int or None
        Prompt and output tokens that it declares; ``None`` if it declares none.
    """
    if not workspace.counts_tokens:
        return 1.0
    return workspace.default_cost if tokens is None else float(tokens)
