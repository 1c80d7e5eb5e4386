"""Requests that crash upstreams, over all routers.

An upstream is taken for dead when its connection breaks under a request and no new one
can be opened. The requests that it ran are suspects; one that was there at several
deaths is refused.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.routing.quarantine import Death, Quarantine
from banyansail.wire.gossip_codec import decode_crashes, encode_crashes

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.gateway.upstream import Upstream

CRASHES = 3  # a caller's second try of an innocent request is no reason to refuse it
MOST_TOLD = 20  # deaths that are told to other routers


class CrashGuard:
    """Counts the deaths that each request was part of.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._quarantine = Quarantine(clock, CRASHES)
        self._running: dict[tuple[str, int], dict[int, int]] = {}
        self._deaths: list[Death] = []

    def start(self, upstream: Upstream, fingerprint: int) -> None:
        """Account for a request that is sent to an upstream."""
        running = self._running.setdefault(upstream.incarnation, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def end(self, upstream: Upstream, fingerprint: int, *, survived: bool) -> None:
        """Account for the end of a request at an upstream."""
        running = self._running.get(upstream.incarnation, {})
        running[fingerprint] = running.get(fingerprint, 1) - 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        if not running:
            self._running.pop(upstream.incarnation, None)
        if survived:
            self._quarantine.record_survival(fingerprint)

    def record_death(self, upstream: Upstream, fingerprint: int) -> bytes | None:
        """Take in that an upstream died; return what others should be told."""
        fingerprints = {fingerprint, *self._running.get(upstream.incarnation, {})}
        name = f"{upstream.id}@{upstream.started_at}"
        death = Death(name, upstream.zone, frozenset(fingerprints))
        if not self._quarantine.record_death(death):
            return None
        log_event("upstream_died", upstream=name, requests=len(fingerprints))
        self._deaths = [*self._deaths, death][-MOST_TOLD:]
        return encode_crashes(self._deaths)

    def hear(self, value: bytes) -> None:
        """Take in deaths that another router has seen."""
        try:
            deaths = decode_crashes(value)
        except WireError as error:
            log_event("deaths_unreadable", error=error.message)
            return
        for death in deaths:
            self._quarantine.record_death(death)

    def refused_for(self, fingerprint: int) -> timedelta | None:
        """Return how long a request is refused, or ``None`` if it may run."""
        return self._quarantine.quarantined_for(fingerprint)
