"""States of a router from its start to a graceful stop."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task

from banyansail.log import log_event
from banyansail.router.model_exchange import ModelExchange
from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus
from banyansail.wire.call_codec import StreamRecord

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.router.exchange import Exchange
    from banyansail.router.handoff import StreamStore

DRAIN_DELAY = timedelta(seconds=2)  # the balancer needs this to notice
HANDOFF_MARGIN = timedelta(seconds=2)
CHECK_INTERVAL = timedelta(milliseconds=50)


class RouterState(Enum):
    """What a router does for callers."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Lifecycle:
    """Exchanges in progress, and how they end when the router stops.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    streams : StreamStore
        Hands streams to other routers.
    stop_notice : timedelta
        How long a planned stop may take.
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
    def takes_callers(self) -> bool:
        """Whether the health check passes."""
        return self.state is RouterState.READY

    @property
    def in_progress(self) -> int:
        """Exchanges that have no final answer yet."""
        return len(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Account for an exchange that begins."""
        self._exchanges.add(exchange)

    def discard(self, exchange: Exchange) -> None:
        """Account for an exchange that has ended."""
        self._exchanges.discard(exchange)

    def become_ready(self) -> None:
        """Take callers from now on."""
        if self.state is RouterState.STARTING:
            self.state = RouterState.READY
            log_event("ready")

    async def drain(self) -> None:
        """Finish what is in progress; hand off streams that last too long."""
        self.state = RouterState.LEAVING
        log_event("leaving", in_progress=self.in_progress)
        began = self._clock.monotonic()
        await self._pause(min(DRAIN_DELAY, self._stop_notice / 2))
        limit = max(self._stop_notice - HANDOFF_MARGIN, self._stop_notice / 2)
        while self._exchanges and self._clock.monotonic() - began < limit:
            await self._pause(CHECK_INTERVAL)
        handed = [self._hand_off(exchange) for exchange in list(self._exchanges)]
        await defer.DeferredList(
            [defer.Deferred.fromCoroutine(item) for item in handed], consumeErrors=True
        )
        while self._exchanges and self._clock.monotonic() - began < self._stop_notice:
            await self._pause(CHECK_INTERVAL)

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
        kept = await self._streams.hand_off(record)
        log_event("handed_off", request=request.request_id, kept=kept)
        if kept:
            exchange.writer.start_stream()
            exchange.writer.abort_stream()
        else:
            text = "the router stops and no other can continue the stream"
            exchange.writer.refuse(
                Refusal(503, RefusalCode.STOPPING, RunStatus.UNKNOWN, text)
            )

    def _pause(self, duration: timedelta) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, duration.total_seconds())
