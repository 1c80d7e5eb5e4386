"""State of a router from its start to its graceful stop."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.log import log_event
from banyansail.router.exchanges.model_exchange import ModelExchange
from banyansail.router.requests.refusals import stopping
from banyansail.router.requests.response_outcome import StreamInterrupted
from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus
from banyansail.wire.call_types import StreamRecord

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.router.exchanges.exchange import Exchange
    from banyansail.router.exchanges.handoff import StreamStore

# Until the load balancer has seen the failing health check and sends no new callers.
BALANCER_REMOVAL_TIME = timedelta(seconds=2)
HANDOFF_MARGIN = timedelta(seconds=2)  # end of the stop notice, for hand-offs
DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
SEND_MARGIN = timedelta(milliseconds=50)  # end of the stop notice, for last answers


class RouterState(Enum):
    """Whether a router accepts callers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Lifecycle:
    """Tracks the exchanges in progress and drains them when the router stops.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    streams : StreamStore
        Hands streams off to other routers.
    stop_notice : timedelta
        Maximum duration of a planned stop.
    """

    def __init__(
        self, reactor: Any, clock: Clock, streams: StreamStore, stop_notice: timedelta
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._streams = streams
        self._stop_notice = stop_notice
        self._exchanges: set[Exchange] = set()
        self.state = RouterState.STARTING

    @property
    def is_ready(self) -> bool:
        """Whether the health check passes."""
        return self.state is RouterState.READY

    @property
    def in_progress(self) -> int:
        """Number of exchanges that have not ended."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Add an exchange that starts."""
        self._exchanges.add(exchange)

    def discard(self, exchange: Exchange) -> None:
        """Remove an exchange that has ended."""
        self._exchanges.discard(exchange)

    def become_ready(self) -> None:
        """Pass the health check from now on."""
        if self.state is RouterState.STARTING:
            self.state = RouterState.READY
            log_event("ready")

    async def drain(self) -> None:
        """Finish the exchanges in progress; hand off streams that last too long."""
        self.state = RouterState.LEAVING
        log_event("leaving", in_progress=self.in_progress)
        drain_started_at = self._clock.monotonic()
        await self._sleep(min(BALANCER_REMOVAL_TIME, self._stop_notice / 2))
        handoff_time = max(self._stop_notice - HANDOFF_MARGIN, self._stop_notice / 2)
        while (
            self._exchanges
            and self._clock.monotonic() - drain_started_at < handoff_time
        ):
            await self._sleep(DRAIN_POLL_INTERVAL)
        handoffs = [self._hand_off(exchange) for exchange in list(self._exchanges)]
        await defer.DeferredList(
            [defer.Deferred.fromCoroutine(item) for item in handoffs],
            consumeErrors=True,
        )
        while (
            self._exchanges
            and self._clock.monotonic() - drain_started_at
            < self._stop_notice - SEND_MARGIN
        ):
            await self._sleep(DRAIN_POLL_INTERVAL)
        for exchange in list(self._exchanges):
            exchange.give_up(stopping)
        await self._sleep(SEND_MARGIN)

    async def _hand_off(self, exchange: Exchange) -> None:
        if not isinstance(exchange, ModelExchange) or not exchange.wants_stream:
            return
        exchange.suspend()
        request = exchange.request
        record = StreamRecord(
            request.request_id,
            request.service,
            request.workspace,
            request.body,
            tuple(exchange.delivered),
        )
        is_handed_off = await self._streams.hand_off(record)
        log_event("handed_off", request=request.request_id, kept=is_handed_off)
        if is_handed_off:
            # The caller gets an incomplete stream, which another router can resume.
            exchange.writer.end(StreamInterrupted())
        else:
            text = "the router is stopping and no other router can continue the stream"
            exchange.writer.end(
                Refusal(503, RefusalCode.STOPPING, RunStatus.UNKNOWN, text)
            )

    def _sleep(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())
