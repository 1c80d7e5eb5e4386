"""State of one request, from its arrival to its final answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from banyansail.gateway.decisions.queue.tickets import Ticket
from banyansail.gateway.decisions.responses.response_state import Started
from banyansail.gateway.decisions.responses.retry_policy import Progress
from banyansail.gateway.requests.request_log import RequestLog

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.queue.work_shares import ShareUse
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.site import Route, Workspace


@dataclass(slots=True, eq=False)
class ActiveRequest:
    """A request in progress.

    Parameters
    ----------
    context : GatewayContext
        State that all requests of a router share.
    call : CallerCall
        Decoded request.
    route : Route
        Route that the request matches.
    workspace : Workspace or None
        Workspace of the caller, or ``None`` if the route needs no API key.
    ticket : Ticket
        Request for a slot.
    progress : Progress
        Attempts so far.
    last_event_id : str
        Id of the last event that the caller got; empty for none.
    upstream_id : str
        Upstream of the latest attempt.
    is_finished : bool
        Whether it has its final answer, or its caller has left.
    """

    context: GatewayContext
    call: CallerCall
    route: Route
    workspace: Workspace | None
    ticket: Ticket
    progress: Progress
    request_log: RequestLog
    last_event_id: str = ""
    upstream_id: str = ""
    is_finished: bool = False

    def remaining(self) -> timedelta:
        """Return the time until the deadline."""
        return self.ticket.deadline - self.context.clock.monotonic()

    @property
    def continues_after(self) -> str:
        """Id of the last event of a response that was started; empty if none was."""
        is_started = isinstance(self.progress.response, Started)
        return self.last_event_id if is_started else ""

    def record_wait(self, share: ShareUse) -> None:
        """Record the time that the request waited in the fair order."""
        waited = self.context.clock.monotonic() - self.ticket.arrived_at
        service = self.ticket.service
        self.context.metrics.observe_wait(service, share.workspace, waited)

    def write_log(self, decision: str, reason: str, **fields: Any) -> None:
        """Log a decision about the request."""
        self.request_log.write(decision, reason, self.progress.attempts, **fields)


def start_request(
    context: GatewayContext,
    call: CallerCall,
    route: Route,
    service: str,
    workspace: Workspace | None,
    earlier_runs: int,
) -> ActiveRequest:
    """Return the state of a request that has just arrived.

    Parameters
    ----------
    service : str
        Service that it is routed to.
    earlier_runs : int
        Attempts of the router that relays it which may have run it.
    """
    now = context.clock.monotonic()
    timeout = min(call.timeout or route.timeout, route.timeout)
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    workspace_name = workspace.name if workspace is not None else ""
    ticket = Ticket(
        service,
        call.prompt,
        priority,
        now,
        now + timeout,
        version_draw=context.random.random(),
        workspace=workspace_name,
        weight=context.dispatcher.fair.weight_of(workspace_name),
        caller=call.key,
        fingerprint=call.fingerprint,
    )
    return ActiveRequest(
        context,
        call,
        route,
        workspace,
        ticket,
        Progress(possible_runs=earlier_runs),
        RequestLog(context, call, route, now),
        last_event_id=call.last_event_id,
    )
