"""Rollout controller of a router: derives shares and verdicts from evidence."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Topic
from banyansail.log import log_decision
from banyansail.rollout.schedule import DONE, LATE_PHASE_START, REVERTED, PlannedShare
from banyansail.rollout.status import MoveState, MoveStatus, move_id, move_number
from banyansail.rollout.verdict import Regression
from banyansail.router.control.move_status_store import Move, MoveStatusStore
from banyansail.routing.shares import VersionShares
from banyansail.wire.gossip_codec import decode_names, encode_names

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import RuleSet
    from banyansail.coordination.client import PlatformClient
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.view import FleetView
    from banyansail.router.control.evidence_exchange import EvidenceExchange
    from banyansail.routing.dispatch import Dispatcher

FULL_SHARE = "full"  # gossiped by a router whose traffic has moved entirely
FULL_SHARE_WATCH_TIME = timedelta(seconds=10)  # maximum, until a move counts as done


class RolloutController:
    """Plans the shares of all moves, and gossips and stores their statuses.

    Parameters
    ----------
    name : str
        This router.
    clock : Clock
        Source of time.
    platform : PlatformClient
        Stores the statuses of moves.
    view : FleetView
        Holds the statuses that other routers gossiped.
    gossiper : Gossiper
        Publishes this router's statuses.
    duties : Duties
        Decides which router stores a move's progress.
    dispatcher : Dispatcher
        Applies the shares to the traffic.
    evidence : EvidenceExchange
        Sums the evidence of all routers.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        platform: PlatformClient,
        view: FleetView,
        gossiper: Gossiper,
        duties: Duties,
        dispatcher: Dispatcher,
        evidence: EvidenceExchange,
    ) -> None:
        self._name = name
        self._clock = clock
        self._status_store = MoveStatusStore(platform)
        self._view = view
        self._gossiper = gossiper
        self._duties = duties
        self._dispatcher = dispatcher
        self._evidence = evidence
        self._rules: RuleSet | None = None
        self._move_by_service: dict[str, Move] = {}

    def apply_rules(self, rules: RuleSet) -> None:
        """Use the moves of new rules; a changed move starts over."""
        self._rules = rules
        moves = self._move_by_service
        for service in moves.keys() - rules.rollout_by_service.keys():
            del moves[service]
            self._set_shares(service, None)
        for service, rule in rules.rollout_by_service.items():
            known = moves.get(service)
            if known is None or move_id(known.rule) != move_id(rule):
                moves[service] = Move(rule, self._clock)
            else:
                known.rule = known.planner.rule = rule
        self._evidence.set_moves(
            {service: move_number(move.rule) for service, move in moves.items()}
        )
        self._plan_all()

    def plan(self) -> None:
        """Exchange evidence, plan the share of every move and gossip the statuses."""
        self._evidence.exchange()
        self._plan_all()
        self._gossip_statuses()

    async def sync_statuses(self) -> None:
        """Store this router's verdicts on the platform and fetch those of others.

        The router that has the duty also stores the progress; the others read the
        platform only once a live router has gossiped a final status.
        """
        peer_statuses = self._peer_statuses()
        for service, move in list(self._move_by_service.items()):
            if move.final_status is not None and not move.is_final_stored:
                await self._status_store.publish_final(service, move)
            elif not move.is_final_stored and self._has_duty(service):
                await self._status_store.fetch_final(service, move)
                await self._publish_progress(service, move)
            elif not move.is_final_stored and _is_final_at_peer(move, peer_statuses):
                await self._status_store.fetch_final(service, move)

    def _plan_all(self) -> None:
        peer_statuses = self._peer_statuses()
        for service, move in self._move_by_service.items():
            self._plan(service, move, peer_statuses)

    def _plan(self, service: str, move: Move, peer_statuses: set[str]) -> None:
        planned = self._planned_share(service, move, peer_statuses)
        if move.planned != planned:
            self._log_share(service, move, planned)
        move.planned = planned
        self._set_shares(
            service,
            VersionShares(
                move.rule.old_version,
                move.rule.new_version,
                planned.share,
                planned.is_proven or move.rule.unproven_calls,
                planned.seeks_evidence,
                planned.cap,
            ),
        )

    def _planned_share(
        self, service: str, move: Move, peer_statuses: set[str]
    ) -> PlannedShare:
        match move.state:
            case MoveState.REVERTED:
                return REVERTED
            case MoveState.DONE:
                return DONE
        if _status_name(MoveState.REVERTED, move) in peer_statuses:
            return REVERTED
        outcome = move.planner.plan(
            self._evidence.of_move(move_number(move.rule)),
            self._rules.service_by_name[service].latency,
            is_isolated=self._is_isolated(),
        )
        if isinstance(outcome, Regression):
            self._revert(move, outcome.reason)
            return REVERTED
        return outcome

    def _is_isolated(self) -> bool:
        """Return whether no other router is live, although others are known."""
        router_count = len(self._gossiper.members())
        return router_count > 1 and len(self._gossiper.live_members()) == 1

    def _revert(self, move: Move, reason: str) -> None:
        move.final_status = MoveStatus(
            move_id(move.rule),
            MoveState.REVERTED,
            self._clock.now(),
            reason,
            self._name,
        )

    async def _publish_progress(self, service: str, move: Move) -> None:
        planned = move.planned
        if move.is_final_stored or planned is None:
            return
        unconfirmed = self._routers_below_full_share(move)
        now = self._clock.now()
        if (
            planned.share >= 1
            and not unconfirmed
            and self._is_watch_complete(move, now)
        ):
            reason = "every router sends all traffic to the new version"
            state = MoveState.DONE
        else:
            state = MoveState.MOVING
            reason = f"{planned.share:.0%}: {planned.reason}"
            if planned.share >= 1 and unconfirmed:
                reason += f"; not heard to have moved: {', '.join(unconfirmed)}"
        status = MoveStatus(move_id(move.rule), state, now, reason, self._name)
        await self._status_store.publish_progress(service, move, status)

    def _is_watch_complete(self, move: Move, now: datetime) -> bool:
        """Return whether the new version was watched long enough under full traffic."""
        window = move.rule.deadline - move.rule.start
        watch_time = min(FULL_SHARE_WATCH_TIME, window * (1 - LATE_PHASE_START) / 2)
        return now >= move.rule.start + window * LATE_PHASE_START + watch_time

    def _routers_below_full_share(self, move: Move) -> list[str]:
        """Describe the routers that have not gossiped that all their traffic moved."""
        full_share_status = f"{FULL_SHARE} {move_id(move.rule)}"
        value_by_router = self._view.values(Topic.STATEMENTS, live_only=False)
        unconfirmed = []
        for name, member in self._gossiper.members().items():
            has_left = member.is_leaving and not self._gossiper.is_live(name)
            if name == self._name or has_left:
                continue
            if name not in value_by_router or full_share_status not in _decode_statuses(
                value_by_router[name]
            ):
                age = self._view.age(name).total_seconds()
                unconfirmed.append(f"{name} (heard {age:.0f} s ago)")
        return unconfirmed

    def _peer_statuses(self) -> set[str]:
        """Return the statuses that live routers have gossiped."""
        statuses: set[str] = set()
        for value in self._view.values(Topic.STATEMENTS).values():
            statuses |= _decode_statuses(value)
        return statuses

    def _gossip_statuses(self) -> None:
        statuses = set()
        for move in self._move_by_service.values():
            if move.state is not MoveState.MOVING:
                statuses.add(_status_name(move.state, move))
            if move.planned is not None and move.planned.share >= 1:
                statuses.add(f"{FULL_SHARE} {move_id(move.rule)}")
        self._gossiper.publish(Topic.STATEMENTS, encode_names(statuses))

    def _has_duty(self, service: str) -> bool:
        return self._duties.owner_of(f"rollout/{service}") is None

    def _set_shares(self, service: str, shares: VersionShares | None) -> None:
        dispatch = self._dispatcher.dispatch_by_service.get(service)
        if dispatch is not None:
            dispatch.shares = shares

    def _log_share(self, service: str, move: Move, planned: PlannedShare) -> None:
        log_decision(
            "share",
            planned.reason,
            service=service,
            version=move.rule.new_version,
            share=planned.share,
            proven=planned.is_proven,
        )


def _status_name(state: MoveState, move: Move) -> str:
    """Return the text by which routers gossip the state of a move."""
    return f"{state.value} {move_id(move.rule)}"


def _is_final_at_peer(move: Move, peer_statuses: set[str]) -> bool:
    """Return whether a live router has gossiped a final status of a move."""
    final = (MoveState.DONE, MoveState.REVERTED)
    return any(_status_name(state, move) in peer_statuses for state in final)


def _decode_statuses(value: bytes) -> set[str]:
    """Decode gossiped statuses; an unreadable value counts as none."""
    try:
        return decode_names(value)
    except WireError:
        return set()
