"""Control of the moves of all services: evidence, traffic shares, states."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError, WireError
from banyansail.gateway.duties.answer_times import AnswerTimes
from banyansail.gateway.duties.moves import (
    ExposureBound,
    Move,
    MoveState,
    Tally,
    Verdict,
    is_due,
    judge,
    state_to_publish,
    target_share,
)
from banyansail.log import log_decision, log_event
from banyansail.platform.moves import MOVES_KIND, decode_move, encode_status
from banyansail.wire.gossip_codec import decode_names, encode_names

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Entry
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.gateway.duties.duty_lease import DutyLease
    from banyansail.gateway.store.mirror import Mirror
    from banyansail.gateway.upstream import Upstream
    from banyansail.platform.store import Revision, StoreClient
    from banyansail.traffic.report import TallyKey


FINAL_STATES = (MoveState.COMPLETED, MoveState.REVERTED)
# After a restore of the store; by then operators have written their orders again.
REWRITE_TIME = timedelta(seconds=30)


class MoveController:
    """Applies the orders to move traffic at this router and publishes their states.

    Parameters
    ----------
    clock : Clock
        Source of time.
    store : StoreClient
        Store of the orders and of their states.
    lease : DutyLease
        Lease whose holder publishes the states.
    dispatcher : Dispatcher
        Routes requests by the shares that are set here.
    exposure : ExposureBound
        Requests of a service that a bad version may get.
    """

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        lease: DutyLease,
        dispatcher: Dispatcher,
        exposure: ExposureBound,
    ) -> None:
        self._exposure = exposure
        self._clock = clock
        self._store = store
        self._lease = lease
        self._dispatcher = dispatcher
        self._move_by_service: dict[str, Move] = {}
        self._revision_by_service: dict[str, Revision] = {}
        # Final states outlive a store that was restored from an earlier copy.
        self._final_state_by_key: dict[tuple[str, str, int], MoveState] = {}
        self._moves_before_restore: dict[str, Move] = {}
        self._restored_at: timedelta | None = None
        self._to_publish_again: set[str] = set()
        self._received_at: dict[tuple[str, str, int], timedelta] = {}
        self._bad_moves: set[tuple[str, int]] = set()
        self._bad_names_by_origin: dict[str, set[str]] = {}  # of other routers
        self._answer_times = AnswerTimes()
        self.own_tallies: dict[TallyKey, Tally] = {}
        # Of the whole fleet, this router included, as of a moment ago.
        self._fleet_tallies: Mapping[TallyKey, Tally] = {}

    def encode_bad_moves(self) -> bytes:
        """Return the encoded names of the present moves whose target is bad."""
        return encode_names(
            _bad_move_name(move)
            for move in self._move_by_service.values()
            if (move.service, move.number) in self._bad_moves
        )

    def merge_bad_moves(self, entry: Entry) -> None:
        """Apply the verdicts of another router, whose evidence may be newer."""
        try:
            names = decode_names(entry.value)
        except WireError as error:
            log_event("verdicts_unreadable", origin=entry.origin, error=error.message)
            return
        self._bad_names_by_origin[entry.origin] = names
        self.update_shares()

    def record_restore(self) -> None:
        """Remember the present moves, as the store was restored from a copy."""
        self._moves_before_restore.update(self._move_by_service)
        # A restored store may give the number of a move to another one.
        self._bad_names_by_origin.clear()
        self._restored_at = self._clock.monotonic()

    def apply_orders(self, mirror: Mirror) -> None:
        """Replace the known moves by the orders in the store's mirror."""
        self._move_by_service.clear()
        self._to_publish_again.clear()
        for stored in mirror.object_by_name.values():
            try:
                move = decode_move(stored)
            except WireError as error:
                log_event("move_unreadable", error=error.message)
                continue
            move = self._retain_final_state(self._retain_number(move))
            self._move_by_service[move.service] = move
            self._revision_by_service[move.service] = stored.revision
            key = (move.service, move.target, move.number)
            self._received_at.setdefault(key, self._clock.monotonic())
        self.update_shares()

    def _retain_number(self, move: Move) -> Move:
        """Return an order that was written again with the number that it had.

        In a restored store, the same order appears as a new one.
        """
        known = self._moves_before_restore.get(move.service)
        if known is None or self._restored_at is None:
            return move
        is_recent = self._clock.monotonic() - self._restored_at < REWRITE_TIME
        is_same = (known.target, known.duration) == (move.target, move.duration)
        if not is_recent:
            del self._moves_before_restore[move.service]
        return replace(move, number=known.number) if is_recent and is_same else move

    def _retain_final_state(self, move: Move) -> Move:
        """Return a move with the final state that it had, which it never loses."""
        key = (move.service, move.target, move.number)
        if move.state in FINAL_STATES:
            self._final_state_by_key[key] = move.state
        final_state = self._final_state_by_key.get(key)
        if final_state is None or final_state is move.state:
            return move
        self._to_publish_again.add(move.service)
        return replace(move, state=final_state)

    def set_fleet_tallies(self, tallies: Mapping[TallyKey, Tally]) -> None:
        """Replace the tallies of the whole fleet, which include this router's."""
        self._fleet_tallies = tallies

    def record_time(self, upstream: Upstream, route: str, duration: timedelta) -> bool:
        """Record the time of a complete answer; return whether it was slow.

        It was if it took several times the usual time, which the answers of other
        versions than a move's target set. An upstream that has just started is slower
        for a while and not compared.
        """
        if upstream.is_cold:
            return False
        key = (upstream.service, route)
        move = self._move_by_service.get(upstream.service)
        is_target = move is not None and upstream.version == move.target
        is_slow = self._answer_times.is_slow(key, duration)
        if not is_target or move.state is MoveState.COMPLETED:
            self._answer_times.record(key, duration)
        return is_slow

    def record(self, service: str, version: str, *, is_good: bool) -> None:
        """Count an answer of an upstream."""
        move = self._move_by_service.get(service)
        if move is None or move.state is MoveState.COMPLETED:
            return
        key = (service, move.number, version == move.target)
        tally = self.own_tallies.setdefault(key, Tally())
        tally.good += is_good
        tally.bad += not is_good

    def update_shares(self) -> None:
        """Set the traffic share of each service's target."""
        for move in self._move_by_service.values():
            verdict = self._verdict(move)
            share = self._share(move, verdict)
            self._dispatcher.set_share(move.service, move.target, share)

    async def publish_states(self) -> None:
        """Publish the states of the moves if this router holds the lease."""
        self.update_shares()
        for move in list(self._move_by_service.values()):
            if self._lease.fencing_token() is None:
                return
            old_in_flight = self._dispatcher.in_flight_at_other_versions(
                move.service, move.target
            )
            verdict = self._verdict(move)
            elapsed = self._elapsed(move)
            share = self._share(move, verdict)
            state = state_to_publish(
                move, verdict, elapsed, share, old_in_flight=old_in_flight
            )
            if move.service in self._to_publish_again:
                state = move.state
            if state is not None:
                await self._publish_state(move, state, verdict)

    async def _publish_state(
        self, move: Move, state: MoveState, verdict: Verdict
    ) -> None:
        try:
            await self._store.set_status(
                MOVES_KIND,
                move.service,
                encode_status(move, state),
                self._revision_by_service[move.service],
            )
        except StoreConflictError as error:
            log_event("move_changed", service=move.service, error=error.message)
            return
        self._to_publish_again.discard(move.service)
        if state in FINAL_STATES:
            self._final_state_by_key[move.service, move.target, move.number] = state
        log_decision(
            "move",
            f"the verdict is {verdict.value}",
            service=move.service,
            target=move.target,
            state=state.value,
            good=self._total_tally(move, True).good,
            bad=self._total_tally(move, True).bad,
        )

    def _share(self, move: Move, verdict: Verdict) -> float:
        canary_share = self._exposure.canary_share(
            self._total_tally(move, True), self._total_tally(move, False)
        )
        return target_share(
            move, verdict, self._elapsed(move), self._exposure.share, canary_share
        )

    def _elapsed(self, move: Move) -> timedelta:
        received_at = self._received_at[move.service, move.target, move.number]
        return self._clock.monotonic() - received_at

    def _verdict(self, move: Move) -> Verdict:
        key = (move.service, move.number)
        if key in self._bad_moves:
            return Verdict.BAD
        judges = self._other_judges(move)
        if judges:
            self._record_bad_move(key, f"router {judges[0]} found the target bad")
            return Verdict.BAD
        verdict = judge(
            self._total_tally(move, True),
            self._total_tally(move, False),
            is_due=is_due(move, self._elapsed(move)),
        )
        if verdict is Verdict.BAD:
            self._record_bad_move(key, "too many bad answers of the target")
        return verdict

    def _other_judges(self, move: Move) -> list[str]:
        """Return the other routers that found the target of a move bad."""
        name = _bad_move_name(move)
        return [
            origin
            for origin, names in self._bad_names_by_origin.items()
            if name in names
        ]

    def _record_bad_move(self, key: tuple[str, int], reason: str) -> None:
        self._bad_moves.add(key)
        log_decision("move_bad", reason, service=key[0])

    def _total_tally(self, move: Move, is_target: bool) -> Tally:
        """Return the larger of two tallies: the fleet's lags behind this router's."""
        key = (move.service, move.number, is_target)
        own = self.own_tallies.get(key, Tally())
        fleet = self._fleet_tallies.get(key, Tally())
        return Tally(max(own.good, fleet.good), max(own.bad, fleet.bad))


def _bad_move_name(move: Move) -> str:
    return f"bad/{move.service}/{move.target}/{move.number}"
