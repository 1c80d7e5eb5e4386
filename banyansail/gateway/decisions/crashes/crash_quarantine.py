"""Quarantine of requests, and of parts of prompts, that crash upstreams.

A part may crash each upstream that begins to answer a prompt with it. Such prompts
need have nothing else in common, and sound prompts share their other parts. Likewise a
sound request may be sent often and be in flight at several crashes. What tells the
cause of the crashes from these is that no upstream answers it: an answer clears a
request and all parts of its prompt, at all routers.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event
from banyansail.routing.crash_history import CrashHistory, UpstreamCrash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyansail.clock import Clock
    from banyansail.routing.crash_history import RecordedCrash

QUARANTINE_DURATION = timedelta(minutes=10)
# Since the last answer, of a request or of a part that was never answered; fewer would
# reject harmless requests that callers retry.
MIN_CRASHES = 3
MIN_CRASHES_ANSWERED = 5  # the same, of a part that was answered before
# Since the first of these crashes; other routers report an answer sooner.
MIN_CRASH_AGE = timedelta(seconds=1)
# Answered prompts after which a part that was in none counts as never answered.
MIN_ANSWERS = 5
# Answers to other prompts since the first crash; without any, no upstream may be up.
MIN_OTHER_ANSWERS = 3
MIN_CRASHES_TO_CLEAR = 2  # for which other routers are told of an answer
MAX_ANSWERED_PARTS = 4096  # remembered; the least recently answered ones are forgotten


@dataclass(slots=True, frozen=True)
class RequestSubject:
    """A request that may be quarantined, by its fingerprint."""

    hash: int


@dataclass(slots=True, frozen=True)
class PartSubject:
    """A part of prompts that may be quarantined, by the hash of its id."""

    hash: int


Subject = RequestSubject | PartSubject


class CrashQuarantine:
    """Quarantines what was in flight at several crashes and was not answered since.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_answer_count",
        "_answered_parts",
        "_answers_before_crash",
        "_clock",
        "_end_by_subject",
        "_history",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._history = CrashHistory(clock)
        self._answered_parts: OrderedDict[PartSubject, None] = OrderedDict()
        self._answer_count = 0  # of prompts
        self._answers_before_crash: dict[Subject, int] = {}
        self._end_by_subject: dict[Subject, timedelta] = {}

    @property
    def suspects(self) -> set[Subject]:
        """Subjects with a crash since the last answer."""
        return self._history.subjects

    def record_crash(self, crash: UpstreamCrash) -> bool:
        """Record a crash; return whether it contained new information."""
        subjects = frozenset[Subject](
            {
                *(RequestSubject(number) for number in crash.fingerprints),
                *(PartSubject(number) for number in crash.parts),
            }
        )
        recorded = self._history.record(crash, subjects)
        if recorded is None:
            return False
        for subject in recorded.fresh:
            self._answers_before_crash.setdefault(subject, self._answer_count)
        return recorded.is_new or bool(recorded.fresh)

    def record_answer(
        self, request: RequestSubject, parts: Iterable[PartSubject]
    ) -> set[Subject]:
        """Clear an answered request and its parts; return those to clear elsewhere."""
        subjects: list[Subject] = [request, *parts]
        to_report = {subject for subject in subjects if self._must_report(subject)}
        for subject in subjects:
            self.clear(subject)
        self._remember_answer(subjects[1:])
        return to_report

    def _must_report(self, subject: Subject) -> bool:
        crash_count = len(self._history.crashes_of(subject))
        return crash_count >= MIN_CRASHES_TO_CLEAR or subject in self._end_by_subject

    def _remember_answer(self, parts: list[Subject]) -> None:
        self._answer_count += bool(parts)
        for part in parts:
            self._answered_parts[part] = None
            self._answered_parts.move_to_end(part)
        while len(self._answered_parts) > MAX_ANSWERED_PARTS:
            self._answered_parts.popitem(last=False)

    def clear(self, subject: Subject, age: timedelta = timedelta(0)) -> None:
        """Clear a subject that an upstream answered some time ago."""
        self._history.clear(subject, self._clock.monotonic() - age)
        if self._history.crashes_of(subject):
            return
        self._answers_before_crash.pop(subject, None)
        if self._end_by_subject.pop(subject, None) is not None:
            log_event("quarantine_cleared", subject=f"{subject.hash:016x}")

    def is_quarantined(self, subject: Subject) -> bool:
        """Return whether a request must not run now."""
        self._history.expire()
        now = self._clock.monotonic()
        end = self._end_by_subject.get(subject)
        if end is not None and end > now:
            return True
        if not self._is_guilty(subject, now):
            self._end_by_subject.pop(subject, None)
            return False
        self._end_by_subject[subject] = now + QUARANTINE_DURATION
        log_event(
            "quarantined",
            subject=f"{subject.hash:016x}",
            upstreams=[crash.upstream for crash in self._history.crashes_of(subject)],
        )
        return True

    def quarantines(self) -> dict[Subject, timedelta]:
        """Return the remaining quarantine by subject."""
        self._history.expire()
        suspects = self._history.subjects
        for subject in self._answers_before_crash.keys() - suspects:
            del self._answers_before_crash[subject]
        for subject in suspects:
            self.is_quarantined(subject)
        now = self._clock.monotonic()
        return {
            subject: end - now
            for subject, end in self._end_by_subject.items()
            if end > now
        }

    def restore(self, subject: Subject, remaining: timedelta) -> None:
        """Continue a quarantine that another router began."""
        end = self._clock.monotonic() + min(remaining, QUARANTINE_DURATION)
        self._end_by_subject[subject] = max(end, self._end_by_subject.get(subject, end))

    def _is_guilty(self, subject: Subject, now: timedelta) -> bool:
        crashes = self._history.crashes_of(subject)
        if len(crashes) < MIN_CRASHES:
            return False
        if now - min(crash.at for crash in crashes) < MIN_CRASH_AGE:
            return False
        match subject:
            case RequestSubject():
                return True
            case PartSubject():
                return self._is_part_guilty(subject, crashes)

    def _is_part_guilty(self, part: PartSubject, crashes: list[RecordedCrash]) -> bool:
        if self._answer_count >= MIN_ANSWERS and part not in self._answered_parts:
            return True
        answers_before = self._answers_before_crash.get(part, self._answer_count)
        other_answers = self._answer_count - answers_before
        return (
            len(crashes) >= MIN_CRASHES_ANSWERED and other_answers >= MIN_OTHER_ANSWERS
        )
