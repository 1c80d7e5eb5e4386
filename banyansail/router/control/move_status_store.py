"""State of the moves at a router and their statuses on the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.coordination.budget import CallKind
from banyansail.coordination.move_status import publish_final_status
from banyansail.log import log_decision
from banyansail.rollout.planner import MovePlanner
from banyansail.rollout.status import (
    MoveState,
    MoveStatus,
    decode_status,
    encode_status,
    move_id,
    status_key,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import RolloutRule
    from banyansail.coordination.client import PlatformClient
    from banyansail.rollout.schedule import PlannedShare


class Move:
    """State of one move at this router.

    Parameters
    ----------
    rule : RolloutRule
        Rule of the move.
    clock : Clock
        Source of time.

    Attributes
    ----------
    final_status : MoveStatus or None
        Final status that this router has decided or read.
    is_final_stored : bool
        Whether the platform stores a final status.
    """

    __slots__ = ("final_status", "is_final_stored", "planned", "planner", "rule")

    def __init__(self, rule: RolloutRule, clock: Clock) -> None:
        self.rule = rule
        self.planner = MovePlanner(rule, clock)
        self.final_status: MoveStatus | None = None
        self.is_final_stored = False
        self.planned: PlannedShare | None = None

    @property
    def state(self) -> MoveState:
        """Final state if it is known, else `MoveState.MOVING`."""
        return self.final_status.state if self.final_status else MoveState.MOVING


class MoveStatusStore:
    """Reads and writes the statuses of moves on the platform.

    Parameters
    ----------
    platform : PlatformClient
        Stores the statuses.
    """

    __slots__ = ("_platform",)

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def publish_final(self, service: str, move: Move) -> None:
        """Write the final status unless one is stored; apply the stored one."""
        _apply_stored(
            move, await publish_final_status(self._platform, service, move.final_status)
        )

    async def fetch_final(self, service: str, move: Move) -> None:
        """Read the stored status; apply it if it is final."""
        stored = await self._platform.get(status_key(service), CallKind.ROLLOUT)
        _apply_stored(move, decode_status(stored.body))

    async def publish_progress(
        self, service: str, move: Move, status: MoveStatus
    ) -> None:
        """Write the status of a move unless an equal or a final one is stored."""

        def change(body: dict[str, Any] | None) -> dict[str, Any] | None:
            known = decode_status(body)
            if known is None or known.move_id != status.move_id:
                return encode_status(status)
            is_equal = (known.state, known.reason) == (status.state, status.reason)
            if is_equal or known.state is not MoveState.MOVING:
                return None
            return encode_status(status)

        stored = await self._platform.update(
            status_key(service),
            change,
            lambda body: body == encode_status(status),
            CallKind.ROLLOUT,
        )
        _apply_stored(move, decode_status(stored.body))


def _apply_stored(move: Move, stored: MoveStatus | None) -> None:
    if stored is None or stored.move_id != move_id(move.rule):
        return
    if stored.state.is_final:
        move.final_status = stored
        move.is_final_stored = True
        log_decision(
            "rollout", stored.state.value, move=stored.move_id, why=stored.reason
        )
