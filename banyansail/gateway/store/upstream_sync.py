"""Use of the upstreams that this router knows, and of what others know of them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.site import SiteConfig
from banyansail.gateway.store.watchers import count_store_watchers
from banyansail.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.sharing.fleet_link import FleetLink
    from banyansail.gateway.store.upstream_table import UpstreamTable
    from banyansail.gateway.upstream import Upstream

MIN_COALESCE_TIME = timedelta(milliseconds=400)  # of consecutive upstream changes
# Each change costs the store one call per router that watches.
COALESCE_TIME_PER_ROUTER = timedelta(milliseconds=13)
# Half of the 2 s within which a draining upstream must receive no new work.
MAX_COALESCE_TIME = timedelta(seconds=1)


class UpstreamSync:
    """Applies the upstreams to the dispatcher and shares which of them are leaving.

    Parameters
    ----------
    table : UpstreamTable
        Upstreams known to this router.
    link : FleetLink
        Publishes leaving marks to the other routers.
    context : GatewayContext
        State that uses the upstreams.
    on_change : callable
        Called after the upstreams have been applied.
    """

    def __init__(
        self,
        table: UpstreamTable,
        link: FleetLink,
        context: GatewayContext,
        on_change: Callable[[], None],
    ) -> None:
        self._table = table
        self._link = link
        self._context = context
        self._on_change = on_change
        self._marks_due_at: timedelta | None = None
        self.site = SiteConfig()

    @property
    def coalesce_time(self) -> timedelta:
        """Time to coalesce upstream changes in, by the present size of the fleet."""
        return coalesce_time(
            count_store_watchers(
                self._link.live_members(),
                self._context.settings.store_watchers,
                self._context.fleet.fleet_size(),
            )
        )

    def apply(self) -> None:
        """Use the upstreams as they are known now."""
        upstreams = self._table.upstreams()
        if self._marks_due_at is None:
            jitter = self._context.random.random() * self.coalesce_time
            self._marks_due_at = self._context.clock.monotonic() + jitter
        self._table.log_changes(upstreams)
        self._context.dispatcher.apply_upstreams(upstreams, self.site)
        self._context.close_unused_pools({upstream.address for upstream in upstreams})
        self._on_change()

    def mark_leaving(self, upstream: Upstream) -> None:
        """Mark an upstream that said in an answer that it is leaving."""
        if self._table.mark_leaving(upstream):
            log_event("leaving_answered", upstream=upstream.id)
            self.apply()
            self._publish_marks()

    def merge_marks(self, entry: Entry) -> None:
        """Use the leaving marks that another router published."""
        if self._table.merge_leaving_marks(entry):
            self.apply()

    def publish_due_marks(self) -> None:
        """Publish the leaving marks that no other router published meanwhile."""
        due_at = self._marks_due_at
        if due_at is not None and self._context.clock.monotonic() >= due_at:
            self._publish_marks()

    def _publish_marks(self) -> None:
        self._marks_due_at = None
        marks = self._table.encode_leaving_marks(self._table.upstreams())
        self._link.publish(Topic.LEAVING, marks, urgent=True)


def coalesce_time(router_count: int) -> timedelta:
    """Return how long to coalesce upstream changes before the next watch.

    Parameters
    ----------
    router_count : int
        Routers that watch; each one makes one store call per batch of changes.
    """
    return min(
        MAX_COALESCE_TIME,
        max(MIN_COALESCE_TIME, COALESCE_TIME_PER_ROUTER * router_count),
    )
