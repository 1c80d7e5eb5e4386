"""What a router remembers of the moves in progress."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING

from banyansail.gateway.moves.move import Move, MoveState
from banyansail.log import log_event
from banyansail.traffic.tally import Tally, TallyKey

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.moves.order_numbers import OrderRecord

FINAL_STATES = (MoveState.COMPLETED, MoveState.REVERTED)
# After a restore of the store; by then operators have written their orders again.
REWRITE_TIME = timedelta(seconds=30)


class AnswerQuality(Enum):
    """How an upstream answered a request."""

    GOOD = "good"
    SLOW = "slow"
    FAILED = "failed"
    MISSING = "missing"  # broken off, or rejected


TALLY_BY_QUALITY = {
    AnswerQuality.GOOD: Tally(good=1),
    AnswerQuality.SLOW: Tally(bad=1),
    AnswerQuality.FAILED: Tally(bad=1, failed=1),
    AnswerQuality.MISSING: Tally(bad=1),
}


@dataclass(slots=True)
class MoveMemory:
    """What a router remembers of one move.

    Parameters
    ----------
    received_at : timedelta
        Monotonic time at which this router received the order, or at which another one
        did that ran before.
    ordered_at : datetime
        The same as wall time.
    final_state : MoveState or None
        Final state once it was published, which the move never loses.
    is_bad : bool
        Whether the target was found bad.
    share : float
        Share of the requests that the target gets from this router.
    tally_by_key : dict
        Own tallies.
    """

    move: Move
    received_at: timedelta
    ordered_at: datetime
    final_state: MoveState | None = None
    is_bad: bool = False
    share: float = 0.0
    tally_by_key: dict[TallyKey, Tally] = field(default_factory=dict)

    def record(self, key: TallyKey, quality: AnswerQuality) -> None:
        """Count an answer, for its route and for all routes."""
        answer = TALLY_BY_QUALITY[quality]
        total = TallyKey(key.service, key.move, key.is_target)
        for item in (key, total):
            self.tally_by_key.setdefault(item, Tally()).add(answer)

    def renumber(self, number: int) -> None:
        """Keep the tallies under another number of the same order."""
        self.tally_by_key = {
            replace(key, move=number): tally for key, tally in self.tally_by_key.items()
        }


class MoveMemories:
    """Memories of the last move of each service.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_before_restore", "_by_service", "_clock", "_restored_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_service: dict[str, MoveMemory] = {}
        self._before_restore: dict[str, MoveMemory] = {}
        self._restored_at: timedelta | None = None

    def record_restore(self) -> None:
        """Keep what is known for orders that are written again in a restored store."""
        self._before_restore.update(self._by_service)
        self._by_service = {}
        self._restored_at = self._clock.monotonic()

    def remember(self, move: Move) -> MoveMemory:
        """Return what is remembered of a move in force; begin anew for a new order."""
        memory = self._by_service.get(move.service)
        if memory is None or memory.move.number != move.number:
            memory = self._pop_same_order(move) or self._begin(move)
            self._by_service[move.service] = memory
        memory.move = move
        return memory

    def of(self, move: Move) -> MoveMemory:
        """Return what is remembered of a move; nothing if another one is in force."""
        memory = self._by_service.get(move.service)
        if memory is None or memory.move.number != move.number:
            return MoveMemory(move, self._clock.monotonic(), self._clock.now())
        return memory

    def record_state(self, move: Move, state: MoveState) -> None:
        """Record a state that was published for a move, if it is the last one."""
        memory = self._by_service.get(move.service)
        is_last = memory is not None and memory.move.number == move.number
        if is_last and state in FINAL_STATES:
            memory.final_state = state

    def record_start(self, move: Move, record: OrderRecord) -> None:
        """Use the record of a move that was ordered before this router ran.

        A later time, or one that is no age of a move in progress, is left out, as
        clocks of routers differ.
        """
        if record.number != move.number or record.ordered_at is None:
            return
        memory = self.of(move)
        age = self._clock.now() - record.ordered_at
        known = self._clock.monotonic() - memory.received_at
        if known < age <= move.duration:
            memory.received_at = self._clock.monotonic() - age
            memory.ordered_at = record.ordered_at

    def _begin(self, move: Move) -> MoveMemory:
        log_event(
            "move_ordered",
            service=move.service,
            target=move.target,
            number=move.number,
        )
        return MoveMemory(move, self._clock.monotonic(), self._clock.now())

    def _pop_same_order(self, move: Move) -> MoveMemory | None:
        """Return what is remembered of an order from before a restore, if it is it.

        In a restored store, an order that was written again has another number.
        """
        memory = self._before_restore.get(move.service)
        if memory is None:
            return None
        known = memory.move
        is_same = (known.target, known.duration) == (move.target, move.duration)
        is_recent = self._clock.monotonic() - self._restored_at < REWRITE_TIME
        if is_same or not is_recent:
            del self._before_restore[move.service]
        if not (is_same and is_recent):
            return None
        memory.renumber(move.number)
        return memory
