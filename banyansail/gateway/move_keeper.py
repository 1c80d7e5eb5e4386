"""Follows the moves of all services: evidence, shares, statements."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError, WireError
from banyansail.gateway.moves import (
    Move,
    MoveState,
    Tally,
    Verdict,
    judge,
    share_of_target,
    state_to_write,
)
from banyansail.log import log_decision, log_event
from banyansail.platform.moves import KIND, decode_move, encode_statement

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.clock import Clock
    from banyansail.gateway.dispatch import Dispatcher
    from banyansail.gateway.duty_lease import DutyLease
    from banyansail.gateway.mirror import Mirror
    from banyansail.platform.store import Store

TallyKey = tuple[str, int, bool]  # service, number of the move, whether the target


class MoveKeeper:
    """Moves as this router sees them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store : Store
        Holds orders and statements.
    lease : DutyLease
        Says whether this router makes the statements.
    dispatcher : Dispatcher
        Is told the shares.
    exposure : float
        Most of a service's requests that a bad version may get.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        lease: DutyLease,
        dispatcher: Dispatcher,
        exposure: float,
    ) -> None:
        self._exposure = exposure
        self._clock = clock
        self._store = store
        self._lease = lease
        self._dispatcher = dispatcher
        self._move_by_service: dict[str, Move] = {}
        self._revision_by_service: dict[str, int] = {}
        self._heard_at: dict[tuple[str, str, int], timedelta] = {}
        self._bad: set[tuple[str, int]] = set()
        self.own: dict[TallyKey, Tally] = {}
        self._heard: dict[str, dict[TallyKey, Tally]] = {}

    def take_orders(self, mirror: Mirror) -> None:
        """Take in the orders that the store holds."""
        self._move_by_service.clear()
        for stored in mirror.object_by_name.values():
            try:
                move = decode_move(stored)
            except WireError as error:
                log_event("move_unreadable", error=error.message)
                continue
            self._move_by_service[move.service] = move
            self._revision_by_service[move.service] = stored.revision
            key = (move.service, move.target, move.number)
            self._heard_at.setdefault(key, self._clock.monotonic())
        self.plan()

    def hear(self, origin: str, tallies: Mapping[TallyKey, Tally]) -> None:
        """Take in the evidence of another router's process."""
        self._heard[origin] = dict(tallies)

    def record(self, service: str, version: str, *, is_good: bool) -> None:
        """Take in an answer of an upstream."""
        move = self._move_by_service.get(service)
        if move is None or move.state is MoveState.COMPLETED:
            return
        key = (service, move.number, version == move.target)
        tally = self.own.setdefault(key, Tally())
        tally.good += is_good
        tally.bad += not is_good

    def plan(self) -> None:
        """Set the share of each service's target."""
        for move in self._move_by_service.values():
            verdict = self._verdict(move)
            share = self._share(move, verdict)
            self._dispatcher.set_share(move.service, move.target, share)

    async def settle(self) -> None:
        """State what has become of the moves, if this router holds the lease."""
        self.plan()
        for move in list(self._move_by_service.values()):
            if self._lease.fence() is None:
                return
            old = self._dispatcher.in_flight_at_other_versions(
                move.service, move.target
            )
            verdict = self._verdict(move)
            elapsed = self._elapsed(move)
            share = self._share(move, verdict)
            state = state_to_write(move, verdict, elapsed, share, old_in_flight=old)
            if state is not None:
                await self._state(move, state, verdict)

    async def _state(self, move: Move, state: MoveState, verdict: Verdict) -> None:
        try:
            await self._store.set_status(
                KIND,
                move.service,
                encode_statement(move, state),
                self._revision_by_service[move.service],
            )
        except StoreConflictError as error:
            log_event("move_changed", service=move.service, error=error.message)
            return
        log_decision(
            "move",
            f"the verdict is {verdict.value}",
            service=move.service,
            target=move.target,
            state=state.value,
        )

    def _share(self, move: Move, verdict: Verdict) -> float:
        return share_of_target(move, verdict, self._elapsed(move), self._exposure)

    def _elapsed(self, move: Move) -> timedelta:
        heard_at = self._heard_at[move.service, move.target, move.number]
        return self._clock.monotonic() - heard_at

    def _verdict(self, move: Move) -> Verdict:
        name = (move.service, move.number)
        if name in self._bad:
            return Verdict.BAD
        verdict = judge(self._total(move, True), self._total(move, False))
        if verdict is Verdict.BAD:
            self._bad.add(name)
            log_decision("move_bad", "bad answers", service=move.service)
        return verdict

    def _total(self, move: Move, is_target: bool) -> Tally:
        total = Tally()
        key = (move.service, move.number, is_target)
        for tallies in (self.own, *self._heard.values()):
            if key in tallies:
                total.add(tallies[key])
        return total
