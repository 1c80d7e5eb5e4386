"""Conversion of the platform's rollout objects to and from our orders of moves."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import WireError
from banyansail.gateway.moves.move import Move, MoveState
from banyansail.gateway.moves.orders import MoveOrder, PublishedState

if TYPE_CHECKING:
    from banyansail.platform.store_objects import StoredObject

MOVES_KIND = "rollouts"
STATE_BY_WIRE_VALUE = {
    "running": MoveState.RUNNING,
    "completed": MoveState.COMPLETED,
    "rolled_back": MoveState.REVERTED,
}
WIRE_VALUE_BY_STATE = {state: value for value, state in STATE_BY_WIRE_VALUE.items()}


def decode_order(stored: StoredObject) -> MoveOrder:
    """Decode a rollout object.

    Raises
    ------
    WireError
        If the object is malformed.
    """
    try:
        spec = stored.spec
        return MoveOrder(
            spec["service"],
            spec["target"],
            timedelta(seconds=float(spec["durationS"])),
            stored.revision,
            stored.created_revision,
            decode_status(stored.status or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise WireError(f"malformed move {stored.name}: {error!r}") from None


def decode_status(status: dict[str, Any]) -> PublishedState | None:
    """Decode a published state; one of a newer build is published and not final."""
    value = status.get("state")
    if value is None:
        return None
    number = status.get("order")
    return PublishedState(
        status.get("target"),
        STATE_BY_WIRE_VALUE.get(value, MoveState.RUNNING),
        str(value),
        None if number is None else int(number),
    )


def encode_status(move: Move, state: MoveState) -> dict[str, Any]:
    """Encode the state of a move as the status of its rollout object."""
    return {
        "state": WIRE_VALUE_BY_STATE[state],
        "target": move.target,
        "order": move.number,
    }
