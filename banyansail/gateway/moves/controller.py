"""Control of the moves of all services: evidence, traffic shares, states."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from banyansail.exceptions import StoreConflictError, WireError
from banyansail.gateway.moves.answer_times import AnswerTimes
from banyansail.gateway.moves.judge import MoveJudge
from banyansail.gateway.moves.memory import (
    FINAL_STATES,
    AnswerQuality,
    MoveMemories,
)
from banyansail.gateway.moves.move import (
    ExposureBound,
    Move,
    MoveState,
    state_to_publish,
    target_share,
)
from banyansail.gateway.moves.order_numbers import OrderNumbers, OrderRecord
from banyansail.gateway.moves.order_records import OrderRecords
from banyansail.log import log_decision, log_event
from banyansail.platform.moves import (
    MOVES_KIND,
    decode_order,
    decode_status,
    encode_status,
)
from banyansail.traffic.tally import Tally, TallyKey

if TYPE_CHECKING:
    from collections.abc import Mapping
    from datetime import datetime, timedelta

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Entry
    from banyansail.gateway.decisions.queue.dispatch import Dispatcher
    from banyansail.gateway.duties.duty_lease import DutyLease
    from banyansail.gateway.moves.orders import MoveOrder
    from banyansail.gateway.moves.verdict import Verdict
    from banyansail.gateway.store.mirror import Mirror
    from banyansail.gateway.upstream import Upstream
    from banyansail.platform.store import StoreClient


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
        self._order_by_service: dict[str, MoveOrder] = {}
        self._numbers = OrderNumbers()
        self._records = OrderRecords(store)
        self._move_by_service: dict[str, Move] = {}
        self._memories = MoveMemories(clock)
        self._to_publish_again: set[str] = set()
        self._judge = MoveJudge(clock, self._memories)
        self._answer_times = AnswerTimes()

    @property
    def own_tallies(self) -> dict[TallyKey, Tally]:
        """Tallies of the moves in progress, of this router."""
        tallies: dict[TallyKey, Tally] = {}
        for move in self._move_by_service.values():
            if move.state not in FINAL_STATES:
                tallies.update(self._memories.of(move).tally_by_key)
        return tallies

    def set_fleet_tallies(self, tallies: Mapping[TallyKey, Tally]) -> None:
        """Replace the tallies of the whole fleet, which include this router's."""
        self._judge.fleet_tallies = tallies

    def encode_bad_moves(self) -> bytes:
        """Return the encoded names of the present moves whose target is bad."""
        return self._judge.encode_bad(self._move_by_service.values())

    def merge_bad_moves(self, entry: Entry) -> None:
        """Apply the verdicts of another router."""
        self._judge.merge_bad(entry)
        self.update_shares()

    def record_restore(self) -> None:
        """Remember the present moves, as the store was restored from a copy."""
        self._memories.record_restore()
        self._order_by_service.clear()
        self._move_by_service.clear()
        # A restored store may give the number of a move to another one.
        self._numbers.forget()
        self._records.forget()
        self._judge.forget_others()

    def apply_orders(self, mirror: Mirror) -> None:
        """Replace the known moves by the orders in the store's mirror."""
        self._order_by_service.clear()
        for stored in mirror.object_by_name.values():
            try:
                order = decode_order(stored)
            except WireError as error:
                log_event("move_unreadable", error=error.message)
                continue
            self._order_by_service[order.service] = order
        self._apply_known_orders()

    def _apply_known_orders(self) -> None:
        self._move_by_service.clear()
        self._to_publish_again.clear()
        for service, order in self._order_by_service.items():
            move = order.move(self._numbers.number(order))
            self._move_by_service[service] = self._retain_final_state(move)
        self.update_shares()

    def _retain_final_state(self, move: Move) -> Move:
        """Return a move with the final state that it had, which it never loses."""
        memory = self._memories.remember(move)
        if move.state is not None:
            self._memories.record_state(move, move.state)
        final_state = memory.final_state
        if final_state is None or final_state is move.state:
            return move
        self._to_publish_again.add(move.service)
        return replace(move, state=final_state)

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

    def record(
        self,
        service: str,
        version: str,
        route: str,
        quality: AnswerQuality,
        duration: timedelta,
    ) -> None:
        """Count an answer of an upstream to a request that was sent after the order.

        Parameters
        ----------
        duration : timedelta
            Time since the request was sent.
        """
        move = self._move_by_service.get(service)
        if move is None or move.state is MoveState.COMPLETED:
            return
        memory = self._memories.of(move)
        if self._clock.monotonic() - duration < memory.received_at:
            return
        is_under_load = memory.share > self._exposure.share
        key = TallyKey(
            service, move.number, version == move.target, route, is_under_load
        )
        memory.record(key, quality)

    def update_shares(self) -> None:
        """Set the traffic share of each service's target."""
        for move in self._move_by_service.values():
            verdict = self._judge.verdict(move)
            share = self._share(move, verdict)
            self._memories.of(move).share = share
            self._dispatcher.set_share(move.service, move.target, share)

    async def publish_states(self) -> None:
        """Publish the states of the moves if this router holds the lease."""
        self.update_shares()
        await self._confirm_numbers()
        for service in list(self._move_by_service):
            if self._lease.fencing_token() is None:
                return
            # Another order may have been written meanwhile.
            if move := self._move_by_service.get(service):
                await self._publish_move(move)

    async def _confirm_numbers(self) -> None:
        """Read the records of orders whose number may be that of an order before.

        The holder of the lease decides by them; the others learn what it publishes.
        """
        is_holder = self._lease.fencing_token() is not None
        services = self._numbers.unconfirmed if is_holder else self._numbers.unseen
        if not (services := services & self._move_by_service.keys()):
            return
        unseen = self._numbers.unseen & services
        records = {service: await self._records.load(service) for service in services}
        self._numbers.confirm(records)
        self._apply_known_orders()
        for service in unseen & self._move_by_service.keys():
            if record := records[service]:
                self._memories.record_start(self._move_by_service[service], record)

    async def _publish_move(self, move: Move) -> None:
        """Publish the state of a move if it has changed, and record what is stored."""
        old_in_flight = self._dispatcher.in_flight_at_other_versions(
            move.service, move.target
        )
        verdict = self._judge.verdict(move)
        state = state_to_publish(
            move,
            verdict,
            self._judge.elapsed(move),
            self._share(move, verdict),
            old_in_flight=old_in_flight,
            answers_under_load=self._judge.evidence(move).answers_under_load,
        )
        if move.service in self._to_publish_again:
            state = move.state
        order = self._order_by_service.get(move.service)
        if order is None:
            return
        if state is not None:
            await self._publish_state(move, order, state, verdict)
        elif move.state is not None:
            record = _record_of(order, move, self._memories.of(move).ordered_at)
            await self._records.save(move.service, record)

    async def _publish_state(
        self, move: Move, order: MoveOrder, state: MoveState, verdict: Verdict
    ) -> None:
        status = encode_status(move, state)
        tally = self._judge.evidence(move).total.target
        ordered_at = self._memories.of(move).ordered_at
        try:
            stored = await self._store.set_status(
                MOVES_KIND, move.service, status, order.revision
            )
        except StoreConflictError as error:
            log_event("move_changed", service=move.service, error=error.message)
            return
        published = replace(
            order, revision=stored.revision, published=decode_status(status)
        )
        if self._order_by_service.get(move.service) is order:
            self._numbers.learn(published, move.number)
        await self._records.save(move.service, _record_of(published, move, ordered_at))
        self._to_publish_again.discard(move.service)
        self._memories.record_state(move, state)
        log_decision(
            "move",
            f"the verdict is {verdict.value}",
            service=move.service,
            target=move.target,
            state=state.value,
            number=move.number,
            good=tally.good,
            bad=tally.bad,
        )

    def _share(self, move: Move, verdict: Verdict) -> float:
        total = self._judge.evidence(move).total
        canary_share = self._exposure.canary_share(total.target, total.others)
        return target_share(
            move, verdict, self._judge.elapsed(move), self._exposure.share, canary_share
        )


def _record_of(order: MoveOrder, move: Move, ordered_at: datetime) -> OrderRecord:
    """Return the record of an order for which a state was published."""
    return OrderRecord(
        move.number, order.revision.number, order.published.text, ordered_at
    )
