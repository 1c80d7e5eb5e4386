"""Starts the migrations of runs whose engine leaves."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Protocol

from banyansail.gateway.decisions.streams.migration_order import (
    RunInProgress,
    order_migrations,
)

if TYPE_CHECKING:
    from datetime import timedelta

    from twisted.internet import defer

    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.queue.tickets import Slot, Ticket
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad

# At a time, by one router from one engine. Its link carries one copy after the other,
# so the rest is better ordered here than in its queue.
MAX_CONCURRENT = 4
MAX_TARGETS = 3  # that one run is copied to


class StreamRun(Protocol):
    """A stream in progress that may migrate."""

    @property
    def ticket(self) -> Ticket:
        """Ticket of its request."""

    @property
    def source(self) -> UpstreamLoad | None:
        """Engine that runs it; ``None`` between two engines."""

    @property
    def is_migrating(self) -> bool:
        """Whether a migration is in progress."""

    @property
    def tried_targets(self) -> set[str]:
        """Ids of the engines to which a migration was started."""

    def describe(self) -> RunInProgress:
        """Return what decides whether and when it migrates."""

    def migrate(self, target: Slot) -> defer.Deferred[None]:
        """Start its migration; the deferred fires after its calls."""


class MigrationScheduler:
    """Streams in progress, and the engines that leave.

    Parameters
    ----------
    context : GatewayContext
        State that all exchanges of a router share.
    """

    __slots__ = ("_context", "_leaves_at_by_incarnation", "runs")

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._leaves_at_by_incarnation: dict[tuple[str, int], timedelta | None] = {}
        self.runs: set[StreamRun] = set()

    def update(self) -> None:
        """Start the migrations that are due."""
        runs_by_source: dict[UpstreamLoad, list[StreamRun]] = {}
        for run in self.runs:
            source = run.source
            if source is not None and self._copies_runs(source):
                runs_by_source.setdefault(source, []).append(run)
        leaving = {
            source: runs
            for source, runs in runs_by_source.items()
            if self._is_leaving(source)
        }
        self._leaves_at_by_incarnation = {
            source.upstream.incarnation: self._leaves_at(source) for source in leaving
        }
        for source, runs in leaving.items():
            self._migrate_from(source, runs)

    def _copies_runs(self, source: UpstreamLoad) -> bool:
        engine = self._context.dispatcher.state(source.upstream.service).engine
        return engine is not None and engine.copies_runs

    def _is_leaving(self, source: UpstreamLoad) -> bool:
        """Return whether an engine drains or has withdrawn its entry."""
        upstream = source.upstream
        state = self._context.dispatcher.state(upstream.service)
        return upstream.is_leaving or state.load_by_id.get(upstream.id) is not source

    def _leaves_at(self, source: UpstreamLoad) -> timedelta | None:
        """Return when an engine stops; ``None`` if it is not announced."""
        now = self._context.clock.monotonic()
        upstream = source.upstream
        known = self._leaves_at_by_incarnation
        time_left = upstream.time_left
        if time_left is None and upstream.incarnation not in known:
            time_left = self._context.settings.drain
        times = [known.get(upstream.incarnation)]
        if time_left is not None:
            times.append(now + time_left)
        return min((time for time in times if time is not None), default=None)

    def _migrate_from(self, source: UpstreamLoad, runs: list[StreamRun]) -> None:
        leaves_at = self._leaves_at_by_incarnation[source.upstream.incarnation]
        now = self._context.clock.monotonic()
        time_left = None if leaves_at is None else leaves_at - now
        room = MAX_CONCURRENT - sum(run.is_migrating for run in runs)
        run_by_id = {
            run.describe().attempt_id: run
            for run in runs
            if not run.is_migrating and len(run.tried_targets) < MAX_TARGETS
        }
        due = order_migrations(
            (run.describe() for run in run_by_id.values()), time_left
        )
        for item in due[: max(0, room)]:
            self._start(run_by_id[item.attempt_id], source)

    def _start(self, run: StreamRun, source: UpstreamLoad) -> None:
        """Start a migration if an engine has room for it."""
        dispatcher = self._context.dispatcher
        service = source.upstream.service
        others = {
            load.upstream.id
            for load in dispatcher.state(service).load_by_id.values()
            if load.upstream.version != source.upstream.version
        }
        excluded = {source.upstream.id, *others, *run.tried_targets}
        ticket = replace(run.ticket, excluded=excluded)
        target = dispatcher.try_slot(ticket)
        if target is None:
            return
        # The continued request is one more that arrives at the service.
        if not self._context.retries.withdraw(service):
            dispatcher.release(target)
            return
        run.migrate(target).addBoth(lambda _: self.update())
