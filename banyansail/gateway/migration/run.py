"""Migration of one run: its calls to the engines and its timers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from banyansail.gateway.decisions.streams.migration import (
    Continue,
    Copied,
    Copying,
    CopyUnanswered,
    Event,
    Finished,
    GiveUp,
    Place,
    State,
    Stop,
    Stopped,
    StreamEnded,
    step,
)
from banyansail.log import log_decision, log_event
from banyansail.platform.engine_calls import (
    copy_run,
    encode_continuation,
    free_copy,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.queue.tickets import Slot
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.gateway.request_types import CallerCall

# A source closes the stream as it stops the run; beyond this, the link is broken.
STREAM_END_TIMEOUT = timedelta(milliseconds=400)


class RunMigration:
    """Migration of one run from an engine that leaves.

    Parameters
    ----------
    context : GatewayContext
        State that all exchanges of a router share.
    call : CallerCall
        Request whose run migrates.
    source : UpstreamLoad
        Engine that runs it.
    target : Slot
        Slot at the engine that shall continue it.
    abort_attempt : callable
        Closes the connection to the source.
    """

    __slots__ = (
        "_abort_attempt",
        "_call",
        "_context",
        "_continue",
        "_decided",
        "_end_timer",
        "_handle",
        "_source",
        "_started_at",
        "_state",
        "_stopped_at",
        "_target",
    )

    def __init__(
        self,
        context: GatewayContext,
        call: CallerCall,
        source: UpstreamLoad,
        target: Slot,
        abort_attempt: Callable[[str], None],
    ) -> None:
        self._context = context
        self._call = call
        self._source = source
        self._target: Slot | None = target
        self._abort_attempt = abort_attempt
        self._state: State = Copying()
        self._handle = ""
        self._decided: defer.Deferred[None] = defer.Deferred()
        self._continue: Continue | None = None
        self._end_timer: Any = None
        self._started_at = context.clock.monotonic()
        self._stopped_at = self._started_at

    @property
    def is_finished(self) -> bool:
        """Whether it was decided where the run goes on."""
        return isinstance(self._state, Finished)

    @property
    def paused_ms(self) -> int:
        """Milliseconds since the source was told to stop the run."""
        paused = self._context.clock.monotonic() - self._stopped_at
        return int(paused.total_seconds() * 1000)

    def start(self) -> defer.Deferred[None]:
        """Copy the run, then stop it; the deferred fires after the last call."""
        self._log("migrate", "the engine leaves")
        done = defer.Deferred.fromCoroutine(self._copy())
        done.addErrback(self._on_error)
        return done

    async def settle(self, *, is_complete: bool) -> bool:
        """Return, after the source's answer has ended, whether the run continues.

        Parameters
        ----------
        is_complete : bool
            Whether the answer was the whole stream.
        """
        self._apply(StreamEnded(is_complete))
        await self._decided
        return self._continue is not None

    def continuations(self) -> Iterator[tuple[Slot, tuple[bytes, bytes]]]:
        """Yield a slot and the header to send for each place to continue at."""
        memory = encode_continuation(self._source.upstream.address, self._handle)
        for place in self._continue.places:
            if place is Place.SOURCE:
                yield self._context.dispatcher.take_slot(self._source), memory
            elif self._target is not None:
                target, self._target = self._target, None
                yield target, memory

    def close(self) -> None:
        """Give back what was not used; also after the caller has left."""
        if not self.is_finished:
            self._state = Finished()
            self._free()
        if self._end_timer is not None and self._end_timer.active():
            self._end_timer.cancel()
        if self._target is not None:
            target, self._target = self._target, None
            self._context.dispatcher.release(target)

    async def _copy(self) -> None:
        is_stop = False
        while True:
            reply = await copy_run(
                self._context.reactor,
                self._context.pool_of(self._source.upstream.address),
                self._call.attempt_id,
                self._target_address(),
                stops=is_stop,
            )
            if self.is_finished:
                self._handle = reply.handle if isinstance(reply, Copied) else ""
                self._free()
                return
            if self._apply(reply) is None:
                return
            is_stop = True
            self._stopped_at = self._context.clock.monotonic()

    def _on_error(self, failure: Any) -> None:
        """Treat a failed call as unanswered, so that the run does not wait for it."""
        log_event(
            "migration_failed",
            request=self._call.attempt_id,
            error=str(failure.value),
        )
        self._apply(CopyUnanswered())

    def _target_address(self) -> Any:
        return self._target.load.upstream.address

    def _apply(self, event: Event) -> Stop | None:
        """Apply an event; return whether the source is to stop the run."""
        before = self._state
        self._state, action = step(before, event)
        if isinstance(event, Copied):
            self._handle = event.handle
        match action:
            case Stop():
                return action
            case Continue(handle):
                self._handle = handle
                self._continue = action
                self._decide()
            case GiveUp():
                self._log(
                    "stay", f"{type(event).__name__} while {type(before).__name__}"
                )
                self._free()
                self.close()
                self._decide()
        if isinstance(self._state, Stopped) and self._end_timer is None:
            self._end_timer = self._context.reactor.callLater(
                STREAM_END_TIMEOUT.total_seconds(),
                self._abort_attempt,
                "the engine stopped the run but did not end the stream",
            )
        return None

    def _decide(self) -> None:
        if not self._decided.called:
            self._decided.callback(None)

    def _free(self) -> None:
        if not self._handle:
            return
        handle, self._handle = self._handle, ""
        pool = self._context.pool_of(self._source.upstream.address)
        defer.ensureDeferred(free_copy(self._context.reactor, pool, handle))

    def _log(self, decision: str, reason: str) -> None:
        elapsed = self._context.clock.monotonic() - self._started_at
        target = self._target.load.upstream.id if self._target else ""
        log_decision(
            decision,
            reason,
            request=self._call.attempt_id,
            upstream=self._source.upstream.id,
            target=target,
            elapsed_ms=int(elapsed.total_seconds() * 1000),
        )
