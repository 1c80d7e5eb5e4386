"""Page of the metrics of a gateway, as of the moment at which it is asked for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.callers.request_handler import RequestHandler
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.store.evacuations import Evacuations
    from banyansail.gateway.store.store_following import StoreFollowing


class MetricsPage:
    """Sets the metrics that show a present state, and renders all.

    Parameters
    ----------
    context : GatewayContext
        State of the upstreams and of the retries.
    handler : RequestHandler
        Requests in progress.
    evacuations : Evacuations
        Evacuated data centres.
    following : StoreFollowing
        How the store is followed.
    """

    __slots__ = ("_context", "_evacuations", "_following", "_handler")

    def __init__(
        self,
        context: GatewayContext,
        handler: RequestHandler,
        evacuations: Evacuations,
        following: StoreFollowing,
    ) -> None:
        self._context = context
        self._handler = handler
        self._evacuations = evacuations
        self._following = following

    def render(self) -> bytes:
        """Return the metrics as text."""
        context, metrics = self._context, self._context.metrics
        metrics.set_config_version(context.site.version)
        metrics.set_in_progress(self._handler.in_progress)
        metrics.set_evacuated_zones(len(self._evacuations.zones))
        self._following.set_metrics()
        context.retries.set_metrics()
        now = context.clock.monotonic()
        for name, state in context.dispatcher.service_by_name.items():
            cold = [load for load in state.load_by_id.values() if load.cold.left(now)]
            metrics.set_cold_upstreams(name, len(cold))
            if state.is_fair:
                metrics.set_shares(name, state.shares.share_uses())
        metrics.set_upstreams(context.dispatcher.loads())
        return metrics.render()
