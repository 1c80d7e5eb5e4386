"""Orders to move traffic and their statements, decoded into our types."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import WireError
from banyansail.gateway.moves import Move, MoveState

if TYPE_CHECKING:
    from banyansail.platform.store import StoredObject

KIND = "rollouts"
STATE_BY_WORD = {
    "running": MoveState.RUNNING,
    "completed": MoveState.COMPLETED,
    "rolled_back": MoveState.REVERTED,
}
WORD_BY_STATE = {state: word for word, state in STATE_BY_WORD.items()}


def decode_move(stored: StoredObject) -> Move:
    """Decode an order.

    Raises
    ------
    WireError
        If it can't be read.
    """
    try:
        spec, status = stored.spec, stored.status or {}
        is_about_target = status.get("target") == spec["target"]
        return Move(
            spec["service"],
            spec["target"],
            timedelta(seconds=float(spec["durationS"])),
            stored.created,
            STATE_BY_WORD.get(status.get("state")) if is_about_target else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise WireError(f"move {stored.name}: {error!r}") from None


def encode_statement(move: Move, state: MoveState) -> dict[str, Any]:
    """Encode a statement about a move."""
    return {"state": WORD_BY_STATE[state], "target": move.target}
