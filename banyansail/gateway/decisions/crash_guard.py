"""Detection of requests that crash upstreams, over all routers.

An upstream is treated as crashed when its connection breaks during a request and no new
one can be opened. Any request in flight may have caused the crash; a request that was
in flight at several crashes is rejected for some time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.gateway.request_types import Cause, Rejection
from banyansail.log import log_event
from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import CrashReports
from banyansail.routing.quarantine import Quarantine
from banyansail.wire.gossip_codec import decode_crashes, encode_crashes

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.upstream import Upstream

CRASHES_TO_REJECT = 3  # fewer would reject harmless requests that callers retry


class CrashGuard:
    """Counts the crashes during which each request was in flight.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._quarantine = Quarantine(clock, CRASHES_TO_REJECT)
        self._running_by_incarnation: dict[tuple[str, int], list[CallerCall]] = {}
        self._reports = CrashReports(clock)
        self._detected_fingerprints: set[int] = set()

    def start_attempt(self, upstream: Upstream, call: CallerCall) -> None:
        """Record that a request is being sent to an upstream."""
        running = self._running_by_incarnation.setdefault(upstream.incarnation, [])
        running.append(call)

    def end_attempt(self, upstream: Upstream, call: CallerCall) -> None:
        """Record the end of an attempt."""
        running = self._running_by_incarnation.get(upstream.incarnation, [])
        running[:] = [other for other in running if other is not call]
        if not running:
            self._running_by_incarnation.pop(upstream.incarnation, None)

    def record_success(self, call: CallerCall) -> None:
        """Clear a request that an upstream answered."""
        self._quarantine.record_success(call.fingerprint)

    def record_crash(self, upstream: Upstream, call: CallerCall) -> bytes | None:
        """Record the crash of an upstream; return the value to publish if it is new."""
        calls = [call, *self._running_by_incarnation.get(upstream.incarnation, ())]
        fingerprints = {call.fingerprint for call in calls}
        name = f"{upstream.id}@{upstream.started_at}"
        crash = UpstreamCrash(name, upstream.zone, frozenset(fingerprints))
        if not self._quarantine.record_crash(crash):
            return None
        log_event(
            "upstream_died",
            upstream=name,
            fingerprints=[f"{number:016x}" for number in sorted(fingerprints)],
            parts=sorted({part_id for call in calls for part_id in shared_parts(call)}),
        )
        self._detected_fingerprints |= fingerprints
        self._detected_fingerprints &= self._quarantine.crashed_fingerprints
        self._reports.add(crash)
        return encode_crashes(self._reports.report())

    def merge_peer_crashes(self, value: bytes) -> None:
        """Merge the crashes that another router detected."""
        try:
            report = decode_crashes(value)
        except WireError as error:
            log_event("deaths_unreadable", error=error.message)
            return
        for crash in report.crashes:
            if self._quarantine.record_crash(crash):
                log_event("peer_reported_crash", upstream=crash.upstream)

    def quarantines(self) -> dict[int, timedelta]:
        """Return the remaining quarantine by fingerprint."""
        return self._quarantine.quarantines()

    def has_detected(self, fingerprint: int) -> bool:
        """Return whether this router detected a crash during a request."""
        return fingerprint in self._detected_fingerprints

    def restore(self, fingerprint: int, remaining: timedelta) -> None:
        """Quarantine a request as another router did."""
        self._quarantine.restore(fingerprint, remaining)

    def rejection(self, call: CallerCall) -> Rejection | None:
        """Return the rejection of a quarantined request, ``None`` if it may run."""
        if self.quarantine_remaining(call.fingerprint) is None:
            return None
        detail = "several upstreams crashed while they ran this request"
        return Rejection(500, Cause.CRASHES_UPSTREAMS, detail)

    def quarantine_remaining(self, fingerprint: int) -> timedelta | None:
        """Return how long a request is still rejected, or ``None`` if it may run."""
        return self._quarantine.quarantine_remaining(fingerprint)


def shared_parts(call: CallerCall) -> list[str]:
    """Return the ids of the parts of a request's prompt that others may contain."""
    return [] if call.prompt is None else call.prompt.shared_part_ids
