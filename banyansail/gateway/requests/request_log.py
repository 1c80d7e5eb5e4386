"""Log lines of one request, each with its id, its route and its attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.gateway.requests.share_fields import share_fields
from banyansail.log import log_decision

if TYPE_CHECKING:
    from datetime import timedelta

    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.queue.tickets import Slot
    from banyansail.gateway.request_types import CallerCall
    from banyansail.gateway.site import Route


class RequestLog:
    """Writer of the log lines of one request.

    Parameters
    ----------
    context : GatewayContext
        State that all exchanges of a router share.
    call : CallerCall
        Decoded request.
    route : Route
        Route that the request matches.
    arrived_at : timedelta
        Monotonic time of its arrival.
    """

    __slots__ = ("_arrived_at", "_call", "_context", "_route")

    def __init__(
        self,
        context: GatewayContext,
        call: CallerCall,
        route: Route,
        arrived_at: timedelta,
    ) -> None:
        self._context = context
        self._call = call
        self._route = route
        self._arrived_at = arrived_at

    def write(self, decision: str, reason: str, attempts: int, **fields: Any) -> None:
        """Log a decision."""
        log_decision(
            decision,
            reason,
            request=self._call.attempt_id,
            route=self._route.name,
            attempts=attempts,
            **fields,
        )

    def write_route(self, slot: Slot, attempts: int) -> None:
        """Log the choice of an upstream, unless too many were logged lately."""
        if not self._context.route_log_limit.allow():
            return
        self.write(
            "route",
            slot.chosen.reason,
            attempts,
            upstream=slot.load.upstream.id,
            expected_ms=int(slot.chosen.expected_latency.total_seconds() * 1000),
            in_flight=slot.load.in_flight,
            peers_in_flight=slot.load.peer_in_flight,
            **self._speed_fields(slot),
            left_out=self._context.route_log_limit.pop_suppressed_count(),
            **self._wait_fields(slot),
        )

    def _speed_fields(self, slot: Slot) -> dict[str, Any]:
        """Return the estimated speed, its evidence and age, and the next best."""
        if not self._context.dispatcher.is_uneven:
            return {}
        evidence = slot.load.speed_evidence
        return {
            "speed": round(slot.load.speed, 2),
            "speed_samples": round(evidence.samples) if evidence else 0,
            "speed_age_ms": int(evidence.age.total_seconds() * 1000) if evidence else 0,
            "next_best": slot.chosen.next_best,
        }

    def _wait_fields(self, slot: Slot) -> dict[str, Any]:
        """Return log fields of a request that waited in the fair order."""
        if slot.share is None:
            return {}
        waited = slot.assigned_at - self._arrived_at
        return {
            "waited_ms": int(waited.total_seconds() * 1000),
            **share_fields(slot.share),
        }
