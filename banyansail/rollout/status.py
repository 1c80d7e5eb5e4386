"""Status of a move, stored on the platform; a conditional update makes it final."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from typing import TYPE_CHECKING, Any

from banyansail.utils import hash32

if TYPE_CHECKING:
    from banyansail.config.rules import RolloutRule


class MoveState(Enum):
    """Progress of a move; `REVERTED` and `DONE` are final."""

    MOVING = "moving"
    REVERTED = "taken_back"  # the word in stored data
    DONE = "done"
    UNKNOWN = "unknown"  # of a newer build, which is never overwritten

    @classmethod
    def _missing_(cls, value: object) -> MoveState:
        return cls.UNKNOWN

    @property
    def is_final(self) -> bool:
        """Whether the state of a move does not change any more."""
        return self in (MoveState.REVERTED, MoveState.DONE)


@dataclass(slots=True, frozen=True)
class MoveStatus:
    """Stored status of one move.

    Parameters
    ----------
    move_id : str
        Identity of the move, see `move_id`.
    recorded_at : datetime
        When the status was recorded.
    reason : str
        Reason for the state, with the evidence.
    writer : str
        Router or operator that recorded it.
    """

    move_id: str
    state: MoveState
    recorded_at: datetime
    reason: str
    writer: str


def move_id(rule: RolloutRule) -> str:
    """Return the identity of a move; another start time makes another move."""
    start = rule.start.isoformat()
    return f"{rule.service}:{rule.old_version}>{rule.new_version}@{start}"


def move_number(rule: RolloutRule) -> int:
    """Return a number that identifies a move in the evidence."""
    return hash32(move_id(rule))


def status_key(service: str) -> str:
    """Return the key of the object that stores the status of a service's move."""
    return f"rollout/{service}"


def encode_status(status: MoveStatus) -> dict[str, Any]:
    """Encode a status as the JSON body of its object."""
    return {
        "move": status.move_id,
        "state": status.state.value,
        "at": status.recorded_at.isoformat(),
        "reason": status.reason,
        "writer": status.writer,
    }


def decode_status(body: dict[str, Any] | None) -> MoveStatus | None:
    """Decode the JSON body of a status object."""
    if body is None:
        return None
    return MoveStatus(
        body["move"],
        MoveState(body["state"]),
        datetime.fromisoformat(body["at"]),
        body["reason"],
        body["writer"],
    )


def update_unless_final(
    body: dict[str, Any] | None, status: MoveStatus
) -> dict[str, Any] | None:
    """Return the new body, or ``None`` if a final status is stored already.

    This is the change function of a conditional update: if two writers record a
    verdict about the same move, the first one wins permanently.
    """
    stored = decode_status(body)
    if stored is not None and stored.move_id == status.move_id:
        if stored.state is not MoveState.MOVING or stored.state is status.state:
            return None
    return encode_status(status)
