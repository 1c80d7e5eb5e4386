"""Moves of traffic at this router: evidence in, shares and verdicts out."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Topic
from banyansail.log import log_decision
from banyansail.rollout.schedule import (
    DONE,
    LATE_PHASE_START,
    REVERTED,
    PlannedShare,
)
from banyansail.rollout.status import MoveState, MoveStatus, move_id, move_number
from banyansail.rollout.verdict import Regression
from banyansail.router.statements import Move, StatementStore
from banyansail.routing.shares import VersionShares
from banyansail.wire.gossip_codec import decode_names, encode_names

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.rules import RuleSet
    from banyansail.coordination.client import PlatformClient
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.view import FleetView
    from banyansail.router.evidence_exchange import EvidenceExchange
    from banyansail.routing.dispatch import Dispatcher

FULL = "full"
WATCH_AFTER_FULL = timedelta(seconds=10)


class RolloutController:
    """Plans the shares of all moves and settles their verdicts.

    Parameters
    ----------
    name : str
        This router.
    clock : Clock
        Source of time.
    platform : PlatformClient
        Holds the statements.
    view : FleetView
        Holds the statements of other routers.
    gossiper : Gossiper
        Publishes this router's statements.
    duties : Duties
        Says whose duty a move is.
    dispatcher : Dispatcher
        Acts on the shares.
    evidence : EvidenceExchange
        Adds up the evidence of all routers.
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
        self._statements = StatementStore(platform)
        self._view = view
        self._gossiper = gossiper
        self._duties = duties
        self._dispatcher = dispatcher
        self._evidence = evidence
        self._rules: RuleSet | None = None
        self._move_by_service: dict[str, Move] = {}

    def apply_rules(self, rules: RuleSet) -> None:
        """Take over the moves; one that is changed begins anew."""
        self._rules = rules
        moves = self._move_by_service
        for service in moves.keys() - rules.rollout_by_service.keys():
            del moves[service]
            self._set_shares(service, None)
        for service, rule in rules.rollout_by_service.items():
            held = moves.get(service)
            if held is None or move_id(held.rule) != move_id(rule):
                moves[service] = Move(rule, self._clock)
            else:
                held.rule = held.planner.rule = rule
        self._evidence.watch(
            {service: move_number(move.rule) for service, move in moves.items()}
        )
        self._plan_all()

    def plan(self) -> None:
        """Judge every move and set its share."""
        self._evidence.exchange()
        self._plan_all()
        self._publish_statements()

    async def settle(self) -> None:
        """Write verdicts, and read those of others if that is this router's duty."""
        heard = self._heard()
        for service, move in list(self._move_by_service.items()):
            if move.statement is not None and not move.is_settled:
                await self._statements.settle(service, move)
            elif not move.is_settled and self._is_duty(service):
                await self._statements.read(service, move)
                await self._state_progress(service, move)
            elif not move.is_settled and _names_final(move, heard):
                await self._statements.read(service, move)

    def _plan_all(self) -> None:
        heard = self._heard()
        for service, move in self._move_by_service.items():
            self._plan(service, move, heard)

    def _plan(self, service: str, move: Move, heard: set[str]) -> None:
        planned = self._planned_share(service, move, heard)
        if move.planned != planned:
            self._log(service, move, planned)
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

    def _planned_share(self, service: str, move: Move, heard: set[str]) -> PlannedShare:
        match move.state:
            case MoveState.REVERTED:
                return REVERTED
            case MoveState.DONE:
                return DONE
        if _statement_name(MoveState.REVERTED, move) in heard:
            return REVERTED
        outcome = move.planner.plan(
            self._evidence.of_move(move_number(move.rule)),
            self._rules.service_by_name[service].latency,
            is_isolated=self._is_alone(),
        )
        if isinstance(outcome, Regression):
            self._take_back(move, outcome.reason)
            return REVERTED
        return outcome

    def _is_alone(self) -> bool:
        """Tell whether no other router can be heard, though some are known."""
        known = len(self._gossiper.members())
        return known > 1 and len(self._gossiper.live_members()) == 1

    def _take_back(self, move: Move, reason: str) -> None:
        move.statement = MoveStatus(
            move_id(move.rule),
            MoveState.REVERTED,
            self._clock.now(),
            reason,
            self._name,
        )

    async def _state_progress(self, service: str, move: Move) -> None:
        planned = move.planned
        if move.is_settled or planned is None:
            return
        missing = self._routers_not_full(move)
        now = self._clock.now()
        if planned.share >= 1 and not missing and self._has_watched(move, now):
            reason = "every router sends all traffic to the new version"
            state = MoveState.DONE
        else:
            state = MoveState.MOVING
            reason = f"{planned.share:.0%}: {planned.reason}"
            if planned.share >= 1 and missing:
                reason += f"; not heard to have moved: {', '.join(missing)}"
        statement = MoveStatus(move_id(move.rule), state, now, reason, self._name)
        await self._statements.report(service, move, statement)

    def _has_watched(self, move: Move, now: datetime) -> bool:
        """Tell whether the new version was watched under all of the traffic."""
        window = move.rule.deadline - move.rule.start
        watched = min(WATCH_AFTER_FULL, window * (1 - LATE_PHASE_START) / 2)
        return now >= move.rule.start + window * LATE_PHASE_START + watched

    def _routers_not_full(self, move: Move) -> list[str]:
        wanted = f"{FULL} {move_id(move.rule)}"
        heard = self._view.values(Topic.STATEMENTS, live_only=False)
        missing = []
        for name, member in self._gossiper.members().items():
            has_left = member.is_leaving and not self._gossiper.is_live(name)
            if name == self._name or has_left:
                continue
            if name not in heard or wanted not in _names_in(heard[name]):
                age = self._view.age(name).total_seconds()
                missing.append(f"{name} (heard {age:.0f} s ago)")
        return missing

    def _heard(self) -> set[str]:
        """Return what the live routers state of all moves."""
        names: set[str] = set()
        for value in self._view.values(Topic.STATEMENTS).values():
            names |= _names_in(value)
        return names

    def _publish_statements(self) -> None:
        names = set()
        for move in self._move_by_service.values():
            if move.state is not MoveState.MOVING:
                names.add(_statement_name(move.state, move))
            if move.planned is not None and move.planned.share >= 1:
                names.add(f"{FULL} {move_id(move.rule)}")
        self._gossiper.publish(Topic.STATEMENTS, encode_names(names))

    def _is_duty(self, service: str) -> bool:
        return self._duties.owner_of(f"rollout/{service}") is None

    def _set_shares(self, service: str, shares: VersionShares | None) -> None:
        dispatch = self._dispatcher.dispatch_by_service.get(service)
        if dispatch is not None:
            dispatch.shares = shares

    def _log(self, service: str, move: Move, planned: PlannedShare) -> None:
        log_decision(
            "share",
            planned.reason,
            service=service,
            version=move.rule.new_version,
            share=planned.share,
            proven=planned.is_proven,
        )


def _statement_name(state: MoveState, move: Move) -> str:
    return f"{state.value} {move_id(move.rule)}"


def _names_final(move: Move, heard: set[str]) -> bool:
    """Tell whether a router has heard a final statement about a move."""
    final = (MoveState.DONE, MoveState.REVERTED)
    return any(_statement_name(state, move) in heard for state in final)


def _names_in(value: bytes) -> set[str]:
    """Return the statements in a value; one that can't be decoded says nothing."""
    try:
        return decode_names(value)
    except WireError:
        return set()
