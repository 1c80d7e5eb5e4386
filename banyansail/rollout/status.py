"""Statement about a move, kept by the platform and settled by one update."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import TYPE_CHECKING, Any

from banyansail.utils import hash32

if TYPE_CHECKING:
    from banyansail.config.rules import RolloutRule


class MoveState(Enum):
    """How far a move is; the last two are final."""

    MOVING = "moving"
    TAKEN_BACK = "taken_back"
    DONE = "done"


@dataclass(slots=True, frozen=True)
class MoveStatement:
    """What is stated about one move.

    Parameters
    ----------
    move : str
        Identity of the move, see `move_id`.
    at : datetime
        When it was stated.
    reason : str
        Why, with the evidence.
    writer : str
        Who stated it: a router or an operator.
    """

    move: str
    state: MoveState
    at: datetime
    reason: str
    writer: str


def move_id(rule: RolloutRule) -> str:
    """Return the identity of a move; a new start makes it another one."""
    start = rule.start.isoformat()
    return f"{rule.service}:{rule.old_version}>{rule.new_version}@{start}"


def move_number(rule: RolloutRule) -> int:
    """Return a number for a move, by which its evidence is told apart."""
    return hash32(move_id(rule))


def status_key(service: str) -> str:
    """Return the key of the object that holds a service's statement."""
    return f"rollout/{service}"


def encode_statement(statement: MoveStatement) -> dict[str, Any]:
    """Encode a statement as the JSON body of its object."""
    return {
        "move": statement.move,
        "state": statement.state.value,
        "at": statement.at.isoformat(),
        "reason": statement.reason,
        "writer": statement.writer,
    }


def decode_statement(body: dict[str, Any] | None) -> MoveStatement | None:
    """Decode the JSON body of a statement's object."""
    if body is None:
        return None
    return MoveStatement(
        body["move"],
        MoveState(body["state"]),
        datetime.fromisoformat(body["at"]),
        body["reason"],
        body["writer"],
    )


def settle(
    body: dict[str, Any] | None, statement: MoveStatement
) -> dict[str, Any] | None:
    """Return the new body, or ``None`` if a final statement stands already.

    This is the change of a conditional update: of two writers that state a
    verdict about the same move, the first one wins and stands for good.
    """
    held = decode_statement(body)
    if held is not None and held.move == statement.move:
        if held.state is not MoveState.MOVING or held.state is statement.state:
            return None
    return encode_statement(statement)
