"""Detection of requests that crash upstreams, over all routers.

An upstream is treated as crashed when its connection breaks during a request and no new
one can be opened. Any request in flight, or a part of its prompt, may have caused the
crash; what was in flight at several crashes is rejected for some time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.gateway.decisions.part_quarantine import PartQuarantine, hash_part
from banyansail.gateway.request_types import Cause, Rejection
from banyansail.log import log_event
from banyansail.routing.crash_history import UpstreamCrash
from banyansail.routing.crash_reports import CrashReports
from banyansail.routing.quarantine import Quarantine
from banyansail.wire.gossip_codec import decode_crashes, encode_crashes

if TYPE_CHECKING:
    from datetime import timedelta
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.upstream import Upstream

MEAN_REPORTERS = 3  # of the routers that cleared a part, at each draw
MAX_REPORTED_REQUESTS = 16  # with one crash; each lost request is reported itself
CRASHES_TO_REJECT = 3  # fewer would reject harmless requests that callers retry


@dataclass(slots=True, frozen=True)
class RequestSubject:
    """A request that may be quarantined, by its fingerprint."""

    hash: int


@dataclass(slots=True, frozen=True)
class PartSubject:
    """A part of prompts that may be quarantined, by its hash."""

    hash: int


Subject = RequestSubject | PartSubject


class CrashGuard:
    """Counts the crashes during which requests, and parts of prompts, were in flight.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._quarantine = Quarantine(clock, CRASHES_TO_REJECT)
        self._running_by_incarnation: dict[tuple[str, int], list[CallerCall]] = {}
        self._reports = CrashReports(clock)
        self._parts = PartQuarantine(clock)
        self._detected_subjects: set[int] = set()
        self._cleared_parts: set[int] = set()
        self._parts_to_report: set[int] = set()

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
        self._quarantine.record_success(call.fingerprint)
        if call.prompt is None:
            return
        cleared = self._parts.record_answer(map(hash_part, call.prompt.shared_part_ids))
        self._parts_to_report.update(cleared)
        self._cleared_parts.update(cleared)

    def draw_report(self, random: Random, fleet_size: int) -> bytes | None:
        """Return the value that tells others of cleared parts, or ``None``.

        Many routers clear a shared part at the same time. A few of them are drawn to
        report it, and their reports spare the others theirs.
        """
        if not self._parts_to_report:
            return None
        if random.random() * fleet_size >= MEAN_REPORTERS:
            return None
        for part in self._parts_to_report:
            self._reports.add_cleared(part)
        self._parts_to_report.clear()
        return encode_crashes(self._reports.report())

    def record_crash(self, upstream: Upstream, call: CallerCall) -> bytes | None:
        """Record the crash of an upstream; return the value to publish if it is new."""
        running = self._running_by_incarnation.get(upstream.incarnation, [])
        calls = [call, *running][:MAX_REPORTED_REQUESTS]
        part_ids = {part_id for call in calls for part_id in shared_parts(call)}
        name = f"{upstream.id}@{upstream.started_at}"
        crash = UpstreamCrash(
            name,
            upstream.zone,
            fingerprints=frozenset(call.fingerprint for call in calls),
            parts=frozenset(map(hash_part, part_ids)),
        )
        if not self._record(crash):
            return None
        log_event(
            "upstream_died",
            upstream=name,
            fingerprints=[f"{number:016x}" for number in sorted(crash.fingerprints)],
            parts=sorted(part_ids),
        )
        self._detected_subjects |= crash.fingerprints | crash.parts
        self._detected_subjects &= (
            self._quarantine.crashed_fingerprints | self._parts.crashed_parts
        )
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
            if self._record(crash):
                log_event("peer_reported_crash", upstream=crash.upstream)
        for part, age in report.age_by_cleared_subject.items():
            self._parts.clear(part, age)
            self._parts_to_report.discard(part)

    def _record(self, crash: UpstreamCrash) -> bool:
        is_new = self._quarantine.record_crash(crash)
        return self._parts.record_crash(crash) or is_new

    def quarantines(self) -> dict[Subject, timedelta]:
        """Return the remaining quarantine by what is quarantined."""
        requests = self._quarantine.quarantines()
        parts = self._parts.quarantines()
        return {
            **{RequestSubject(number): end for number, end in requests.items()},
            **{PartSubject(number): end for number, end in parts.items()},
        }

    def has_detected(self, subject: Subject) -> bool:
        """Return whether this router detected a crash with a subject in flight."""
        return subject.hash in self._detected_subjects

    def take_cleared(self) -> set[PartSubject]:
        """Return the parts that were cleared here since the last call."""
        cleared, self._cleared_parts = self._cleared_parts, set()
        return {PartSubject(part) for part in cleared}

    def restore(self, subject: Subject, remaining: timedelta) -> None:
        """Quarantine what another router quarantined."""
        match subject:
            case RequestSubject(fingerprint):
                self._quarantine.restore(fingerprint, remaining)
            case PartSubject(part):
                self._parts.restore(part, remaining)

    def rejection(self, call: CallerCall) -> Rejection | None:
        """Return the rejection of a quarantined request, ``None`` if it may run."""
        if self.quarantine_remaining(call.fingerprint) is not None:
            detail = "several upstreams crashed while they ran this request"
            return Rejection(500, Cause.CRASHES_UPSTREAMS, detail)
        for part_id in shared_parts(call):
            if self._parts.is_quarantined(hash_part(part_id)):
                detail = f"several upstreams crashed with prompt part {part_id}"
                return Rejection(500, Cause.CRASHES_UPSTREAMS, detail)
        return None

    def quarantine_remaining(self, fingerprint: int) -> timedelta | None:
        """Return how long a request is still rejected, or ``None`` if it may run."""
        return self._quarantine.quarantine_remaining(fingerprint)


def shared_parts(call: CallerCall) -> list[str]:
    """Return the ids of the parts of a request's prompt that others may contain."""
    return [] if call.prompt is None else call.prompt.shared_part_ids
