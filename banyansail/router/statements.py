"""Statements about moves: what a router holds of them and writes to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.coordination.budget import CallKind
from banyansail.coordination.statements import settle_statement
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
        The move.
    clock : Clock
        Source of time.
    """

    __slots__ = ("is_settled", "planned", "planner", "rule", "statement")

    def __init__(self, rule: RolloutRule, clock: Clock) -> None:
        self.rule = rule
        self.planner = MovePlanner(rule, clock)
        self.statement: MoveStatus | None = None
        self.is_settled = False
        self.planned: PlannedShare | None = None

    @property
    def state(self) -> MoveState:
        """Return how far the move is, as far as it is stated."""
        return self.statement.state if self.statement else MoveState.MOVING


class StatementStore:
    """Writes and reads the statements of moves.

    Parameters
    ----------
    platform : PlatformClient
        Holds the statements.
    """

    __slots__ = ("_platform",)

    def __init__(self, platform: PlatformClient) -> None:
        self._platform = platform

    async def settle(self, service: str, move: Move) -> None:
        """Write this router's verdict, unless another stands already."""
        _take(move, await settle_statement(self._platform, service, move.statement))

    async def read(self, service: str, move: Move) -> None:
        """Take over a final statement of another router or of an operator."""
        stored = await self._platform.get(status_key(service), CallKind.ROLLOUT)
        _take(move, decode_status(stored.body))

    async def report(self, service: str, move: Move, statement: MoveStatus) -> None:
        """Write how far a move is, unless the same is written or a final statement."""

        def change(body: dict[str, Any] | None) -> dict[str, Any] | None:
            held = decode_status(body)
            if held is None or held.move_id != statement.move_id:
                return encode_status(statement)
            is_same = (held.state, held.reason) == (statement.state, statement.reason)
            if is_same or held.state is not MoveState.MOVING:
                return None
            return encode_status(statement)

        stored = await self._platform.update(
            status_key(service),
            change,
            lambda body: body == encode_status(statement),
            CallKind.ROLLOUT,
        )
        _take(move, decode_status(stored.body))


def _take(move: Move, held: MoveStatus | None) -> None:
    if held is None or held.move_id != move_id(move.rule):
        return
    if held.state is not MoveState.MOVING:
        move.statement = held
        move.is_settled = True
        log_decision("rollout", held.state.value, move=held.move_id, why=held.reason)
