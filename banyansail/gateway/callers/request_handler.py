"""Admission of callers' requests; each admitted one is served by an `Exchange`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.exceptions import CallError
from banyansail.gateway.callers.http_response import HttpResponseWriter
from banyansail.gateway.callers.rejections import (
    EVACUATIONS_UNKNOWN,
    NOT_CONFIGURED,
    STOPPING,
)
from banyansail.gateway.context import quota_cost
from banyansail.gateway.request_types import (
    CallerCall,
    Cause,
    HeaderList,
    Rejection,
)
from banyansail.gateway.requests.exchange import Exchange
from banyansail.gateway.site import Route, SiteConfig, Workspace
from banyansail.log import log_decision
from banyansail.platform.calls import decode_call, decode_possible_runs

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.callers.http_server import GatewayRequest
    from banyansail.gateway.context import GatewayContext

UNKNOWN_ROUTE = ""


class RequestHandler:
    """Handler of the requests of all callers.

    Parameters
    ----------
    context : GatewayContext
        State that all exchanges share.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._exchanges: set[Exchange] = set()
        self.site = SiteConfig()
        self.is_leaving = False
        self.is_accepting = True
        self.awaits_evacuations = False

    @property
    def in_progress(self) -> int:
        """Number of requests without a final answer."""
        return len(self._exchanges)

    def stop(self) -> None:
        """Give the requests in progress their final answers; the router stops."""
        for exchange in list(self._exchanges):
            exchange.stop()

    def handle(self, request: GatewayRequest) -> None:
        """Reject a request at once or start its exchange."""
        self._handle(request, lambda headers: None)

    def handle_relayed(self, request: GatewayRequest) -> None:
        """Serve a request that another router relays."""
        self._handle(request, decode_possible_runs)

    def _handle(
        self,
        request: GatewayRequest,
        decode_earlier_runs: Callable[[HeaderList], int | None],
    ) -> None:
        writer = HttpResponseWriter(request, lambda: self.is_leaving)
        request.notifyFinish().addErrback(lambda failure: None)
        headers = [
            (name, value)
            for name, values in request.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        body = request.content.getvalue()
        try:
            call = decode_call(request.method, request.uri, headers, body)
            earlier_runs = decode_earlier_runs(headers)
        except CallError as error:
            writer.reject(Rejection(400, Cause.BAD_REQUEST, error.message))
            return
        admitted = self.admit(call)
        if isinstance(admitted, Rejection):
            self._reject(writer, call, admitted)
            return
        route, workspace = admitted
        service = self._choose_service(route)
        exchange = Exchange(
            self._context, writer, call, route, service, workspace, earlier_runs
        )
        self._exchanges.add(exchange)
        request.notifyFinish().addErrback(lambda failure: exchange.abandon())
        exchange.start().addBoth(lambda _: self._exchanges.discard(exchange))

    def admit(self, call: CallerCall) -> tuple[Route, Workspace | None] | Rejection:
        """Return a request's route and workspace, or its rejection."""
        site = self.site
        if site.version == 0:
            return NOT_CONFIGURED
        if self.awaits_evacuations:
            return EVACUATIONS_UNKNOWN
        if not self.is_accepting:
            return STOPPING
        route = site.match(call.host, call.path)
        if route is None:
            detail = f"no route for {call.host}{call.path}"
            return Rejection(404, Cause.NO_ROUTE, detail)
        rejection = self._context.crash_guard.rejection(call)
        if rejection is not None:
            return rejection
        if not site.has_workspaces or route.is_public:
            return route, None
        workspace = site.workspace_by_key.get(call.key)
        if workspace is None:
            return Rejection(401, Cause.UNKNOWN_KEY, "the API key is unknown")
        over = self._context.quota.charge(workspace, quota_cost(workspace, call))
        if over is not None:
            detail = (
                f"workspace {workspace.name} is over its quota: {over.level:.0f} left, "
                f"estimated use of {over.unreported_use:.0f} by other routers since "
                "their last report"
            )
            return Rejection(429, Cause.OVER_QUOTA, detail, over.retry_after)
        return route, workspace

    def _reject(
        self, writer: HttpResponseWriter, call: CallerCall, rejection: Rejection
    ) -> None:
        self._context.metrics.count_answer(UNKNOWN_ROUTE, rejection.cause.value)
        log_decision(
            "reject",
            rejection.detail,
            request=call.attempt_id,
            status=rejection.status,
            cause=rejection.cause.value,
            fingerprint=f"{call.fingerprint:016x}",
            config=self.site.version,
        )
        self._context.dispatcher.fair.record_rejection(call.fingerprint, rejection)
        writer.reject(rejection)

    def _choose_service(self, route: Route) -> str:
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return self._context.random.choices(route.targets, weights)[0].service
