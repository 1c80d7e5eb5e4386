"""Quotas of workspaces over all routers.

Each router keeps the bucket of the whole fleet: its own use counts at once, that of
others when it is heard of. Between two such news their usual use is assumed to go on.
Operators tolerate some use beyond a quota; while all routers are heard of, a part of
that is spent rather than to turn callers away for use that is only assumed, or that
comes a moment too early.
A router that begins knows nothing of what was used, so it begins with nothing left.
While some are silent, the others together use the part of the quota that their number
gives them, so that parts of a divided fleet do not each spend the whole.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.clock import Clock
    from banyansail.gateway.site import Workspace

SILENT_AFTER = timedelta(seconds=1.5)
FORGET_AFTER = timedelta(seconds=12)  # a router that is not heard of uses nothing
RATE_TIMES = (timedelta(seconds=1.5), timedelta(seconds=8))  # of averages of use
OVERDRAFT_SHARE = 0.5  # of what is tolerated; the rest is for what is not heard of
SETTLED_AFTER = timedelta(seconds=8)  # of a start, all use of others was heard of
SHORT_SHARE = 0.6  # of a burst; with less left, routers tell each other more often
LONGEST_WAIT = timedelta(seconds=3)
SHORTEST_WAIT = timedelta(milliseconds=50)


@dataclass(slots=True, frozen=True)
class OverQuota:
    """Why a request is not admitted.

    Parameters
    ----------
    wait : timedelta
        Time after which the quota allows a request again.
    level : float
        What was left by what was heard of.
    unheard : float
        What others were believed to have used since.
    """

    wait: timedelta
    level: float
    unheard: float


@dataclass(slots=True)
class _PeerUse:
    """Use of one workspace by one process of another router."""

    incarnation: int
    total: float
    heard_at: timedelta
    rates: tuple[float, ...] = (0.0,) * len(RATE_TIMES)


@dataclass(slots=True)
class _Bucket:
    """Quota of a workspace.

    Parameters
    ----------
    level : float
        What is left by what was heard of.
    unheard : float
        What others are believed to have used since.
    """

    level: float
    at: timedelta
    unheard: float = 0.0
    use_by_peer: dict[str, _PeerUse] = field(default_factory=dict)


class QuotaBook:
    """Buckets of all workspaces at one router.

    Parameters
    ----------
    clock : Clock
        Source of time.
    slack : float
        Use beyond a quota that operators tolerate in some seconds, in its unit.
    """

    __slots__ = (
        "_began_at",
        "_bucket_by_name",
        "_clock",
        "_overdraft",
        "has_short_use",
        "used_by_workspace",
    )

    def __init__(self, clock: Clock, slack: float = 0.0) -> None:
        self._clock = clock
        self._began_at = clock.monotonic()
        self._overdraft = slack * OVERDRAFT_SHARE
        self._bucket_by_name: dict[str, _Bucket] = {}
        self.used_by_workspace: dict[str, float] = {}
        self.has_short_use = False  # of a quota that is nearly used up, untold yet

    def charge(self, workspace: Workspace, cost: float) -> OverQuota | None:
        """Take a request's cost out; return why it isn't admitted if it isn't."""
        if workspace.rate <= 0:
            return None
        bucket = self._refilled(workspace)
        level = bucket.level - bucket.unheard
        if self._knows_all_use(bucket):
            level += self._overdraft
        if level <= 0:
            return OverQuota(self._wait(workspace, level), bucket.level, bucket.unheard)
        bucket.level -= cost
        if level - cost < workspace.burst * SHORT_SHARE:
            self.has_short_use = True
        used = self.used_by_workspace.get(workspace.name, 0.0)
        self.used_by_workspace[workspace.name] = used + cost
        return None

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Give back the cost of a request that did not run."""
        if workspace.rate <= 0:
            return
        bucket = self._refilled(workspace)
        bucket.level += cost
        self.used_by_workspace[workspace.name] -= cost

    def hear(
        self, peer: str, incarnation: int, total_by_workspace: Mapping[str, float]
    ) -> None:
        """Take in what another router's process has used since its start."""
        now = self._clock.monotonic()
        for name, total in total_by_workspace.items():
            bucket = self._bucket(name)
            use = bucket.use_by_peer.get(peer)
            if use is None or use.incarnation != incarnation:
                # What it used before this router heard of it is past, but for that
                # of a process that began a moment ago.
                bucket.level -= 0.0 if use is None else total
                bucket.use_by_peer[peer] = _PeerUse(incarnation, total, now)
                continue
            spent = total - use.total
            bucket.level -= spent
            use.rates = _averaged(use.rates, spent, now - use.heard_at)
            use.total = total
            use.heard_at = now

    def _refilled(self, workspace: Workspace) -> _Bucket:
        now = self._clock.monotonic()
        bucket = self._bucket(workspace.name)
        share = _share_of_heard(bucket, now)
        gained = workspace.rate * share * ((now - bucket.at) / _SECOND)
        bucket.unheard = self._unheard_use(bucket, now)
        full = workspace.burst + bucket.unheard
        bucket.level = min(full, bucket.level + gained)
        bucket.at = now
        return bucket

    def _bucket(self, name: str) -> _Bucket:
        bucket = self._bucket_by_name.get(name)
        if bucket is None:
            bucket = self._bucket_by_name[name] = _Bucket(0.0, self._began_at)
        return bucket

    def _knows_all_use(self, bucket: _Bucket) -> bool:
        is_settled = bucket.at - self._began_at >= SETTLED_AFTER
        return is_settled and _share_of_heard(bucket, bucket.at) == 1.0

    def _unheard_use(self, bucket: _Bucket, now: timedelta) -> float:
        """Return what others are believed to have used since they were heard of."""
        unheard = 0.0
        for peer, use in list(bucket.use_by_peer.items()):
            age = now - use.heard_at
            believed = max(use.rates) * (min(age, SILENT_AFTER) / _SECOND)
            if age > FORGET_AFTER:
                del bucket.use_by_peer[peer]
                bucket.level -= believed
            else:
                unheard += believed
        return unheard

    @staticmethod
    def _wait(workspace: Workspace, level: float) -> timedelta:
        seconds = -level / workspace.rate
        wait = timedelta(seconds=seconds)
        return min(LONGEST_WAIT, max(SHORTEST_WAIT, wait))


_SECOND = timedelta(seconds=1)


def _share_of_heard(bucket: _Bucket, now: timedelta) -> float:
    """Return the share of the routers, this one included, that are heard of."""
    silent = sum(
        now - use.heard_at > SILENT_AFTER for use in bucket.use_by_peer.values()
    )
    routers = len(bucket.use_by_peer) + 1
    return (routers - silent) / routers


def _averaged(
    rates: tuple[float, ...], spent: float, elapsed: timedelta
) -> tuple[float, ...]:
    if elapsed <= timedelta(0):
        return rates
    sample = spent / (elapsed / _SECOND)
    return tuple(
        rate + (sample - rate) * min(1.0, elapsed / time)
        for rate, time in zip(rates, RATE_TIMES, strict=True)
    )


def cost_of(workspace: Workspace, tokens: int | None) -> float:
    """Return what a request counts against its workspace's quota.

    Parameters
    ----------
    tokens : int or None
        Prompt and output tokens that it declares; ``None`` if it declares none.
    """
    if not workspace.counts_tokens:
        return 1.0
    return workspace.default_cost if tokens is None else float(tokens)
