"""Detection of parts of prompts that crash each upstream that begins to answer.

Prompts with such a part need have nothing else in common, and sound prompts share
their other parts. What tells the part from those is that no upstream answers a prompt
with it: an answer clears all parts of its prompt, at all routers.
"""

from __future__ import annotations

from collections import OrderedDict
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.log import log_event
from banyansail.routing.crash_history import CrashHistory, UpstreamCrash
from banyansail.routing.quarantine import QUARANTINE_DURATION
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyansail.clock import Clock

MIN_CRASHES = 3  # since the last answer, of a part that was never answered
MIN_CRASHES_ANSWERED = 5  # the same, of any part
# Since the first of these crashes; other routers report an answer to the part sooner.
MIN_CRASH_AGE = timedelta(seconds=1)
# Answered prompts after which a part that was in none counts as never answered.
MIN_ANSWERS = 5
# Answers to other prompts since the first crash; without any, no upstream may be up.
MIN_OTHER_ANSWERS = 3
MIN_CRASHES_TO_CLEAR = 2  # for which other routers are told of an answer
MAX_ANSWERED_PARTS = 4096  # remembered; the least recently answered ones are forgotten


class PartQuarantine:
    """Rejects prompts with a part during which upstreams crashed and none answered.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_answer_count",
        "_answered",
        "_answers_before_crash",
        "_clock",
        "_end_by_part",
        "_history",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._history = CrashHistory(clock)
        self._answered: OrderedDict[int, None] = OrderedDict()
        self._answer_count = 0
        self._answers_before_crash: dict[int, int] = {}
        self._end_by_part: dict[int, timedelta] = {}

    @property
    def crashed_parts(self) -> set[int]:
        """Parts with a crash since the last answer."""
        return self._history.subjects

    def record_crash(self, crash: UpstreamCrash) -> bool:
        """Record a crash; return whether it contained new information."""
        recorded = self._history.record(crash, crash.parts)
        if recorded is None:
            return False
        for part in recorded.fresh:
            self._answers_before_crash.setdefault(part, self._answer_count)
        return recorded.is_new or bool(recorded.fresh)

    def record_answer(self, parts: Iterable[int]) -> list[int]:
        """Clear the parts of an answered prompt; return those to clear elsewhere."""
        self._answer_count += 1
        to_report = []
        for part in parts:
            crash_count = len(self._history.crashes_of(part))
            if crash_count >= MIN_CRASHES_TO_CLEAR or part in self._end_by_part:
                to_report.append(part)
            self.clear(part)
            self._answered[part] = None
            self._answered.move_to_end(part)
        while len(self._answered) > MAX_ANSWERED_PARTS:
            self._answered.popitem(last=False)
        return to_report

    def clear(self, part: int, age: timedelta = timedelta(0)) -> None:
        """Clear a part that an upstream answered some time ago."""
        self._history.clear(part, self._clock.monotonic() - age)
        if self._history.crashes_of(part):
            return
        self._answers_before_crash.pop(part, None)
        if self._end_by_part.pop(part, None) is not None:
            log_event("part_cleared", part=f"{part:016x}")

    def is_quarantined(self, part: int) -> bool:
        """Return whether prompts with a part must not run now."""
        self._history.expire()
        now = self._clock.monotonic()
        end = self._end_by_part.get(part)
        if end is not None and end > now:
            return True
        if not self._is_guilty(part, now):
            self._end_by_part.pop(part, None)
            return False
        self._end_by_part[part] = now + QUARANTINE_DURATION
        log_event(
            "part_quarantined",
            part=f"{part:016x}",
            upstreams=[crash.upstream for crash in self._history.crashes_of(part)],
        )
        return True

    def quarantines(self) -> dict[int, timedelta]:
        """Return the remaining quarantine by part."""
        self._history.expire()
        self._forget_cleared()
        for part in self._history.subjects:
            self.is_quarantined(part)
        now = self._clock.monotonic()
        return {part: end - now for part, end in self._end_by_part.items() if end > now}

    def restore(self, part: int, remaining: timedelta) -> None:
        """Continue a quarantine that another router began."""
        end = self._clock.monotonic() + min(remaining, QUARANTINE_DURATION)
        self._end_by_part[part] = max(end, self._end_by_part.get(part, end))

    def _is_guilty(self, part: int, now: timedelta) -> bool:
        crashes = self._history.crashes_of(part)
        if len(crashes) < MIN_CRASHES:
            return False
        if now - min(crash.at for crash in crashes) < MIN_CRASH_AGE:
            return False
        if self._answer_count >= MIN_ANSWERS and part not in self._answered:
            return True
        answers_before = self._answers_before_crash.get(part, self._answer_count)
        other_answers = self._answer_count - answers_before
        return (
            len(crashes) >= MIN_CRASHES_ANSWERED and other_answers >= MIN_OTHER_ANSWERS
        )

    def _forget_cleared(self) -> None:
        remaining = self._history.subjects
        for part in self._answers_before_crash.keys() - remaining:
            del self._answers_before_crash[part]


def hash_part(part_id: str) -> int:
    """Return the hash of a part's id that routers report to each other."""
    return hash64(f"part {part_id}")
