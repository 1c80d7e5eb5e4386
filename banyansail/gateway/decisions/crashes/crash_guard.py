"""Detection of requests that crash upstreams, over all routers.

An upstream is treated as crashed when its connection breaks during a request and no new
one can be opened. Any request in flight, or a part of its prompt, may have caused the
crash; what was in flight at several crashes is rejected for some time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.gateway.decisions.crashes.crash_quarantine import (
    CrashQuarantine,
    PartSubject,
    RequestSubject,
    Subject,
)
from banyansail.gateway.request_types import Cause, Rejection
from banyansail.log import log_event
from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import CrashReports
from banyansail.utils import hash64
from banyansail.wire.gossip_codec import decode_crashes, encode_crashes

if TYPE_CHECKING:
    from datetime import timedelta
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.upstream import Upstream

MEAN_REPORTERS = 3  # of the routers that cleared something, at each draw
MAX_REPORTED_REQUESTS = 16  # with one crash; each lost request is reported itself


class CrashGuard:
    """Counts the crashes during which requests, and parts of prompts, were in flight.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._quarantine = CrashQuarantine(clock)
        self._running_by_incarnation: dict[tuple[str, int], list[CallerCall]] = {}
        self._reports = CrashReports(clock)
        self._detected_hashes: set[int] = set()
        self._cleared: set[Subject] = set()  # not taken yet
        self._to_report: set[Subject] = set()

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
        """Clear a request that an upstream answered, and the parts of its prompt."""
        request = RequestSubject(call.fingerprint)
        cleared = self._quarantine.record_answer(request, parts_of(call))
        self._to_report |= cleared
        self._cleared |= cleared

    def draw_report(self, random: Random, fleet_size: int) -> bytes | None:
        """Return the value that tells others what was cleared here, or ``None``.

        Many routers clear a shared part at the same time. A few of them are drawn to
        report it, and their reports spare the others theirs.
        """
        if not self._to_report:
            return None
        if random.random() * fleet_size >= MEAN_REPORTERS:
            return None
        for subject in self._to_report:
            self._reports.add_cleared(subject.hash)
        self._to_report.clear()
        return encode_crashes(self._reports.report())

    def record_crash(self, upstream: Upstream, call: CallerCall) -> bytes | None:
        """Record the crash of an upstream; return the value to publish if it is new."""
        running = self._running_by_incarnation.get(upstream.incarnation, [])
        calls = [call, *running][:MAX_REPORTED_REQUESTS]
        parts = {part.hash for call in calls for part in parts_of(call)}
        name = upstream.incarnation_name
        crash = UpstreamCrash(
            name,
            upstream.zone,
            fingerprints=frozenset(call.fingerprint for call in calls),
            parts=frozenset(parts),
        )
        if not self._quarantine.record_crash(crash):
            return None
        log_event(
            "upstream_died",
            upstream=name,
            fingerprints=[f"{number:016x}" for number in sorted(crash.fingerprints)],
            parts=[f"{number:016x}" for number in sorted(parts)],
        )
        self._detected_hashes |= crash.fingerprints | crash.parts
        self._detected_hashes &= {item.hash for item in self._quarantine.suspects}
        self._reports.add(crash)
        return encode_crashes(self._reports.report())

    def merge_peer_crashes(self, value: bytes) -> None:
        """Merge the crashes that another router detected, and what it cleared."""
        try:
            report = decode_crashes(value)
        except WireError as error:
            log_event("deaths_unreadable", error=error.message)
            return
        for crash in report.crashes:
            if self._quarantine.record_crash(crash):
                log_event("peer_reported_crash", upstream=crash.upstream)
        for number, age in report.age_by_cleared_subject.items():
            for subject in (RequestSubject(number), PartSubject(number)):
                self._quarantine.clear(subject, age)
                self._to_report.discard(subject)

    def quarantines(self) -> dict[Subject, timedelta]:
        """Return the remaining quarantine by subject."""
        return self._quarantine.quarantines()

    def has_detected(self, subject: Subject) -> bool:
        """Return whether this router detected a crash with a subject in flight."""
        return subject.hash in self._detected_hashes

    def take_cleared(self) -> set[Subject]:
        """Return what was cleared here since the last call."""
        cleared, self._cleared = self._cleared, set()
        return cleared

    def restore(self, subject: Subject, remaining: timedelta) -> None:
        """Quarantine what another router quarantined."""
        self._quarantine.restore(subject, remaining)

    def rejection(self, call: CallerCall) -> Rejection | None:
        """Return the rejection of a quarantined request, ``None`` if it may run."""
        if self._quarantine.is_quarantined(RequestSubject(call.fingerprint)):
            detail = "several upstreams crashed while they ran this request"
            return Rejection(500, Cause.CRASHES_UPSTREAMS, detail)
        for part in parts_of(call):
            if self._quarantine.is_quarantined(part):
                detail = f"several upstreams crashed with prompt part {part.hash:016x}"
                return Rejection(500, Cause.CRASHES_UPSTREAMS, detail)
        return None


def parts_of(call: CallerCall) -> list[PartSubject]:
    """Return the parts of a request's prompt that other prompts may contain."""
    if call.prompt is None:
        return []
    return [PartSubject(hash64(part_id)) for part_id in call.prompt.shared_part_ids]
