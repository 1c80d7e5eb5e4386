"""Whether services use the fair order, and what it needs to know of the fleet.

The order is fair while the fleet has many routers, for the services whose callers
belong to two or more workspaces. Elsewhere nothing is counted, and requests wait in the
order of priority and arrival.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.queue.arrival_queue import ArrivalQueue
from banyansail.gateway.decisions.queue.fair_queue import FairQueue
from banyansail.gateway.decisions.queue.repeats import Repeats
from banyansail.gateway.decisions.queue.slot_budget import SlotBudget
from banyansail.gateway.decisions.queue.work import expected_work, workspace_weights
from banyansail.gateway.decisions.queue.work_shares import WorkShares

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from banyansail.clock import Clock
    from banyansail.gateway.decisions.queue.service_state import ServiceState
    from banyansail.gateway.decisions.queue.tickets import Ticket
    from banyansail.gateway.request_types import Rejection
    from banyansail.gateway.site import Workspace

MIN_WORKSPACES = 2
# A data centre that is cut off sees fewer routers than the fleet has.
RETAIN_TIME = timedelta(minutes=10)


class FairOrder:
    """Activation of the fair order at one router.

    Parameters
    ----------
    clock : Clock
        Source of time.
    random : Random
        Source of random choices.
    min_routers : int or None
        Size of the fleet from which on the fair order is used; ``None`` for never.
    """

    __slots__ = (
        "_clock",
        "_large_at",
        "_min_routers",
        "_random",
        "_repeats",
        "is_on",
        "routers",
        "weight_by_workspace",
    )

    def __init__(
        self, clock: Clock, random: Random, min_routers: int | None = None
    ) -> None:
        self._clock = clock
        self._random = random
        self._min_routers = min_routers
        self._large_at: timedelta | None = None
        self._repeats = Repeats(clock)
        self.is_on = False
        self.routers = 1
        self.weight_by_workspace: dict[str, float] = {}  # of the configuration

    def set_workspaces(self, workspaces: Iterable[Workspace]) -> None:
        """Take the weights of the workspaces from a new configuration."""
        weights = workspace_weights(workspaces)
        self.weight_by_workspace.clear()
        self.weight_by_workspace.update(weights)

    def weight_of(self, workspace: str) -> float:
        """Return the weight of a workspace."""
        return self.weight_by_workspace.get(workspace, 1.0)

    def record_fleet_size(self, routers: int) -> None:
        """Decide whether the fleet is large enough for the fair order."""
        self.routers = max(1, routers)
        if self._min_routers is None:
            return
        now = self._clock.monotonic()
        if routers >= self._min_routers:
            self._large_at = now
        self.is_on = self._large_at is not None and now - self._large_at <= RETAIN_TIME

    def apply_to(
        self,
        name: str,
        state: ServiceState,
        assigned_by_name: Mapping[str, float] | None,
    ) -> None:
        """Use the order that a service calls for, with new figures of the fleet.

        Parameters
        ----------
        assigned_by_name : mapping or None
            Work that other routers assigned, by service and workspace; ``None`` if
            nothing new was heard.
        """
        if self.is_on and state.shares is None:
            state.shares = WorkShares(
                self._clock, self._random, self.weight_by_workspace
            )
            state.budget = SlotBudget(self._clock, self._random)
        if state.shares is None:
            return
        state.shares.routers = self.routers
        prefix = f"{name}/"
        total_by_workspace = {
            key.removeprefix(prefix): total
            for key, total in (assigned_by_name or {}).items()
            if key.startswith(prefix)
        }
        if total_by_workspace:
            state.shares.record_fleet_work(total_by_workspace)
            state.renew_budget(self.routers)
        is_fair = self.is_on and state.shares.workspaces >= MIN_WORKSPACES
        if is_fair != state.is_fair:
            queue = FairQueue(state.shares) if is_fair else ArrivalQueue()
            waiting = state.waiting.entries()
            for entry in sorted(waiting, key=lambda item: item.ticket.arrived_at):
                self.prepare_to_wait(entry.ticket)
                queue.push(entry)
            state.waiting = queue

    def observe(self, state: ServiceState, ticket: Ticket) -> None:
        """Take note of the workspace that uses a service."""
        if state.shares is not None:
            state.shares.observe(ticket.workspace, ticket.weight)

    def prepare_to_wait(self, ticket: Ticket) -> None:
        """Set what the fair order needs to know of a request."""
        if self.is_on:
            ticket.work = expected_work(ticket.prompt)
            ticket.is_repeat = self._repeats.is_too_early(ticket.fingerprint)

    def record_rejection(self, fingerprint: int, rejection: Rejection) -> None:
        """Remember until when the caller of a rejected request should wait."""
        if self.is_on:
            self._repeats.record_rejection(fingerprint, rejection.retry_after)

    def assigned_by_name(self, states: Mapping[str, ServiceState]) -> dict[str, float]:
        """Return the work that this router assigned, by service and workspace."""
        return {
            f"{name}/{workspace}": float(round(total))
            for name, state in states.items()
            if self.is_on and state.shares is not None
            for workspace, total in state.shares.assigned_by_workspace.items()
        }
