"""Verdicts on the targets of moves, from the answers that all routers counted."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.gateway.moves.move import MoveState, is_due
from banyansail.gateway.moves.verdict import MoveEvidence, Verdict, judge
from banyansail.log import log_decision, log_event
from banyansail.traffic.tally import Tally, TallyKey
from banyansail.wire.gossip_codec import decode_names, encode_names

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from datetime import timedelta

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Entry
    from banyansail.gateway.moves.memory import MoveMemories, MoveMemory
    from banyansail.gateway.moves.move import Move


class MoveJudge:
    """Judge of the targets of moves; a target that was found bad stays so.

    Parameters
    ----------
    clock : Clock
        Source of time.
    memories : MoveMemories
        Answers that this router counted itself.
    """

    __slots__ = ("_bad_names_by_origin", "_clock", "_memories", "fleet_tallies")

    def __init__(self, clock: Clock, memories: MoveMemories) -> None:
        self._clock = clock
        self._memories = memories
        self._bad_names_by_origin: dict[str, set[str]] = {}  # of other routers
        # Of the whole fleet, this router included, as of a moment ago.
        self.fleet_tallies: Mapping[TallyKey, Tally] = {}

    def forget_others(self) -> None:
        """Forget the verdicts of other routers, as numbers may be given out again."""
        self._bad_names_by_origin.clear()

    def encode_bad(self, moves: Iterable[Move]) -> bytes:
        """Return the encoded names of the moves whose target is bad."""
        return encode_names(
            _name_of_bad(move) for move in moves if self._memories.of(move).is_bad
        )

    def merge_bad(self, entry: Entry) -> None:
        """Take note of the verdicts of another router, whose evidence may be newer."""
        try:
            names = decode_names(entry.value)
        except WireError as error:
            log_event("verdicts_unreadable", origin=entry.origin, error=error.message)
            return
        self._bad_names_by_origin[entry.origin] = names

    def elapsed(self, move: Move) -> timedelta:
        """Return the time since this router received the order."""
        return self._clock.monotonic() - self._memories.of(move).received_at

    def verdict(self, move: Move) -> Verdict:
        """Return the verdict on the target of a move; that of an ended one is final.

        Late answers change nothing once the other versions may have stopped.
        """
        match move.state:
            case MoveState.COMPLETED:
                return Verdict.GOOD
            case MoveState.REVERTED:
                return Verdict.BAD
        memory = self._memories.of(move)
        if memory.is_bad:
            return Verdict.BAD
        judges = self._other_judges(move)
        if judges:
            _record_bad(memory, f"router {judges[0]} found the target bad")
            return Verdict.BAD
        verdict = judge(self.evidence(move), is_due=is_due(move, self.elapsed(move)))
        if verdict is Verdict.BAD:
            _record_bad(memory, "too many bad answers of the target")
        return verdict

    def evidence(self, move: Move) -> MoveEvidence:
        """Return the answers during a move.

        Of each tally, the larger one counts: the fleet's lags behind this router's.
        """
        larger = dict(self._memories.of(move).tally_by_key)
        for key, tally in self.fleet_tallies.items():
            if (key.service, key.move) == (move.service, move.number):
                known = replace(larger.get(key, Tally()))
                known.merge_max(tally)
                larger[key] = known
        evidence = MoveEvidence()
        for key, tally in larger.items():
            evidence.add(key, tally)
        return evidence

    def _other_judges(self, move: Move) -> list[str]:
        """Return the other routers that found the target of a move bad."""
        name = _name_of_bad(move)
        return [
            origin
            for origin, names in self._bad_names_by_origin.items()
            if name in names
        ]


def _record_bad(memory: MoveMemory, reason: str) -> None:
    memory.is_bad = True
    move = memory.move
    log_decision("move_bad", reason, service=move.service, number=move.number)


def _name_of_bad(move: Move) -> str:
    return f"bad/{move.service}/{move.target}/{move.number}"
