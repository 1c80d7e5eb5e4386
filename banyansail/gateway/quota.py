"""Quotas of workspaces over all routers.

Each router keeps the bucket of the whole fleet: its own use counts at once, that of
others when it is heard of. For routers that are not heard of their usual use is set
aside, so that parts of a divided fleet do not each spend the whole quota.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.clock import Clock
    from banyansail.gateway.site import Workspace

SILENT_AFTER = timedelta(seconds=2)
FORGET_AFTER = timedelta(seconds=30)
RATE_TIME = timedelta(seconds=4)  # over which a router's usual use is averaged
LEAST_SHARE = 0.1  # of the quota, whatever others are believed to use
LONGEST_WAIT = timedelta(seconds=3)
SHORTEST_WAIT = timedelta(milliseconds=50)


@dataclass(slots=True)
class _PeerUse:
    """Use of one workspace by one process of another router."""

    total: float
    heard_at: timedelta
    rate: float = 0.0


@dataclass(slots=True)
class _Bucket:
    level: float
    at: timedelta
    use_by_peer: dict[str, _PeerUse] = field(default_factory=dict)


class QuotaBook:
    """Buckets of all workspaces at one router.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_bucket_by_name", "_clock", "_heard_at", "used_by_workspace")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._bucket_by_name: dict[str, _Bucket] = {}
        self._heard_at: dict[str, timedelta] = {}
        self.used_by_workspace: dict[str, float] = {}

    def charge(self, workspace: Workspace, cost: float) -> timedelta | None:
        """Take a request's cost out; return how long to wait if there is none."""
        if workspace.rate <= 0:
            return None
        bucket = self._refilled(workspace)
        if bucket.level <= 0:
            return self._wait(workspace, bucket)
        bucket.level -= cost
        used = self.used_by_workspace.get(workspace.name, 0.0)
        self.used_by_workspace[workspace.name] = used + cost
        return None

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Give back the cost of a request that did not run."""
        if workspace.rate <= 0:
            return
        bucket = self._refilled(workspace)
        bucket.level = min(workspace.burst, bucket.level + cost)
        self.used_by_workspace[workspace.name] -= cost

    def hear(self, peer: str, total_by_workspace: Mapping[str, float]) -> None:
        """Take in what another router's process has used since its start."""
        now = self._clock.monotonic()
        self._heard_at[peer] = now
        for name, total in total_by_workspace.items():
            bucket = self._bucket_by_name.get(name)
            if bucket is None:
                bucket = self._bucket_by_name[name] = _Bucket(float("inf"), now)
            use = bucket.use_by_peer.get(peer)
            if use is None:
                # What it used before this router heard of it is past.
                bucket.use_by_peer[peer] = _PeerUse(total, now)
                continue
            spent = total - use.total
            bucket.level -= spent
            use.rate = _averaged(use.rate, spent, now - use.heard_at)
            use.total = total
            use.heard_at = now

    def _refilled(self, workspace: Workspace) -> _Bucket:
        now = self._clock.monotonic()
        bucket = self._bucket_by_name.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(workspace.burst, now)
            self._bucket_by_name[workspace.name] = bucket
        gained = self._own_rate(workspace, bucket, now) * (now - bucket.at) / _SECOND
        bucket.level = min(workspace.burst, bucket.level + gained)
        bucket.at = now
        return bucket

    def _own_rate(self, workspace: Workspace, bucket: _Bucket, now: timedelta) -> float:
        """Return the rate that is left after what silent routers may use."""
        silent = 0.0
        for peer, use in list(bucket.use_by_peer.items()):
            age = now - self._heard_at.get(peer, use.heard_at)
            if age > FORGET_AFTER:
                del bucket.use_by_peer[peer]
            elif age > SILENT_AFTER:
                silent += use.rate
        return max(workspace.rate * LEAST_SHARE, workspace.rate - silent)

    def _wait(self, workspace: Workspace, bucket: _Bucket) -> timedelta:
        seconds = -bucket.level / workspace.rate
        wait = timedelta(seconds=seconds)
        return min(LONGEST_WAIT, max(SHORTEST_WAIT, wait))


_SECOND = timedelta(seconds=1)


def _averaged(rate: float, spent: float, elapsed: timedelta) -> float:
    if elapsed <= timedelta(0):
        return rate
    weight = min(1.0, elapsed / RATE_TIME)
    return rate + (spent / (elapsed / _SECOND) - rate) * weight


def cost_of(workspace: Workspace, tokens: int | None) -> float:
    """Return what a request counts against its workspace's quota.

    Parameters
    ----------
    tokens : int or None
        Prompt and output tokens that it declares; ``None`` if it declares none.
    """
    if not workspace.counts_tokens:
        return 1.0
    return workspace.plain_cost if tokens is None else float(tokens)
