"""Conversion of the platform's rollout objects to and from our moves."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import WireError
from banyansail.gateway.duties.moves import Move, MoveState

if TYPE_CHECKING:
    from banyansail.platform.store import StoredObject

MOVES_KIND = "rollouts"
STATE_BY_WIRE_VALUE = {
    "running": MoveState.RUNNING,
    "completed": MoveState.COMPLETED,
    "rolled_back": MoveState.REVERTED,
}
WIRE_VALUE_BY_STATE = {state: value for value, state in STATE_BY_WIRE_VALUE.items()}


def decode_move(stored: StoredObject) -> Move:
    """Decode a rollout object.

    Raises
    ------
    WireError
        If the object is malformed.
    """
    try:
        spec, status = stored.spec, stored.status or {}
        is_for_target = status.get("target") == spec["target"]
        return Move(
            spec["service"],
            spec["target"],
            timedelta(seconds=float(spec["durationS"])),
            stored.created_revision,
            _decode_state(status.get("state")) if is_for_target else None,
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise WireError(f"malformed move {stored.name}: {error!r}") from None


def _decode_state(value: Any) -> MoveState | None:
    """Return a published state; one of a newer build is published and not final."""
    if value is None:
        return None
    return STATE_BY_WIRE_VALUE.get(value, MoveState.RUNNING)


def encode_status(move: Move, state: MoveState) -> dict[str, Any]:
    """Encode the state of a move as the status of its rollout object."""
    return {"state": WIRE_VALUE_BY_STATE[state], "target": move.target}
