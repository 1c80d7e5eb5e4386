"""Token bucket of a workspace at one router, with what others reported of their use."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta

from banyansail.gateway.decisions.limits.asked_rate import OwnAskedRate, PeerAskedRate

SECOND = timedelta(seconds=1)
SUSPECT_AFTER = timedelta(seconds=1.5)  # without a report from a peer
PEER_EXPIRY = timedelta(seconds=12)  # without a report; then a peer is removed
# Of the moving averages of a peer's use; the largest of them is the estimate.
RATE_TIME_CONSTANTS = (timedelta(seconds=1.5), timedelta(seconds=8))


@dataclass(slots=True, frozen=True)
class QuotaState:
    """State of a quota that was low or rejected requests lately, for the log.

    Parameters
    ----------
    level : float
        Quota left according to the reported use.
    unreported_use : float
        Estimated use by other routers since their last report.
    report_age : timedelta or None
        Time since the last report of others; ``None`` without one.
    own_use : float
        Use by this router's process since its start.
    admitted, rejected : int
        Requests at this router since the previous state.
    routers, suspects : int
        Routers that share the quota, and how many of them are suspect.
    known_routers : int
        Routers that there may be according to the list of routers.
    """

    level: float
    unreported_use: float
    report_age: timedelta | None
    own_use: float
    admitted: int
    rejected: int
    routers: int
    suspects: int
    known_routers: int


@dataclass(slots=True)
class PeerUse:
    """Use of one workspace by another router's process, or by several routers."""

    incarnation: int
    total: float
    received_at: timedelta
    routers: int
    silent_routers: int
    asked: PeerAskedRate
    rates: tuple[float, ...] = (0.0,) * len(RATE_TIME_CONSTANTS)

    def record(
        self, total: float, asked: float, now: timedelta, routers: int, silent: int
    ) -> float:
        """Record a report of the same process; return the use since the last one."""
        spent = total - self.total
        elapsed = now - self.received_at
        self.rates = _update_rates(self.rates, spent, elapsed)
        self.asked.record(asked, elapsed)
        self.total = total
        self.received_at = now
        self.routers = routers
        self.silent_routers = silent
        return spent

    def unreported_use(self, now: timedelta) -> float:
        """Return the estimated use since the last report."""
        time = min(now - self.received_at, SUSPECT_AFTER)
        return max(self.rates) * (time / SECOND)


@dataclass(slots=True)
class Bucket:
    """Token bucket of a workspace.

    Parameters
    ----------
    level : float
        Quota left according to the reported use.
    refilled_at : timedelta
        Monotonic time of the last refill.
    unreported_use : float
        Estimated use by other routers since their last report.
    admitted, rejected : int
        Requests at this router since the last `QuotaState`.
    is_tight : bool
        Whether the quota was low or rejected a request since then.
    """

    level: float
    refilled_at: timedelta
    unreported_use: float = 0.0
    admitted: int = 0
    rejected: int = 0
    is_tight: bool = False
    own_asked: OwnAskedRate = field(default_factory=OwnAskedRate)
    use_by_peer: dict[str, PeerUse] = field(default_factory=dict)

    def remove_expired_peers(self, now: timedelta) -> None:
        """Remove peers without a report and charge their estimated use finally."""
        for peer, use in list(self.use_by_peer.items()):
            if now - use.received_at > PEER_EXPIRY:
                del self.use_by_peer[peer]
                self.level -= use.unreported_use(now)

    def asked_of_others(self, own_per_s: float) -> float:
        """Return what is asked of other routers per second.

        As much as of this router, until they reported twice.
        """
        return sum(
            use.asked.per_s() if use.asked.is_known else own_per_s * use.routers
            for use in self.use_by_peer.values()
        )


@dataclass(slots=True, frozen=True)
class Room:
    """What all routers together may use until they hear of each other.

    Parameters
    ----------
    left : float
        What they may use; negative if they used too much.
    asked : float
        What they are asked for in that time.
    """

    left: float
    asked: float

    @property
    def share(self) -> float:
        """Share of the requests that each of them may admit."""
        if self.asked == 0 or self.asked <= self.left:
            return 1.0
        return max(0.0, self.left) / self.asked


def _update_rates(
    rates: tuple[float, ...], spent: float, elapsed: timedelta
) -> tuple[float, ...]:
    """Return the moving averages of a peer's use per second after a report."""
    if elapsed <= timedelta(0):
        return rates
    sample = spent / (elapsed / SECOND)
    return tuple(
        rate + (sample - rate) * min(1.0, elapsed / time_constant)
        for rate, time_constant in zip(rates, RATE_TIME_CONSTANTS, strict=True)
    )
