"""Mirrors of what a gateway follows in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.sharing.fleet_link import ROUTERS_KIND
from banyansail.gateway.store.mirror import Mirror
from banyansail.gateway.store.upstream_table import UpstreamTable
from banyansail.platform.evacuations import EVACUATIONS_KIND, decode_evacuations
from banyansail.platform.moves import MOVES_KIND
from banyansail.platform.site import differs_in_cold_time_only

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.gateway.router import Gateway
    from banyansail.platform.store import StoreClient

CONFIG_KIND = "config"
UPSTREAMS_KIND = "servers"


class StoreMirrors:
    """Mirrors of the configuration, upstreams, evacuations, moves and routers.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose components apply what changes.
    """

    __slots__ = (
        "_follows_evacuations",
        "config",
        "evacuations",
        "moves",
        "routers",
        "upstreams",
    )

    def __init__(self, gateway: Gateway, store: StoreClient, clock: Clock) -> None:
        self._follows_evacuations = gateway.follows_evacuations
        self.config = Mirror(CONFIG_KIND, store, clock, gateway.config.apply_mirror)
        self.upstreams = UpstreamTable(
            Mirror(
                UPSTREAMS_KIND,
                store,
                clock,
                lambda mirror: gateway.upstream_sync.apply(),
                keeps_lapsed=True,
                is_minor_change=differs_in_cold_time_only,
            )
        )
        self.evacuations = Mirror(
            EVACUATIONS_KIND,
            store,
            clock,
            lambda mirror: gateway.evacuations.apply_store(
                decode_evacuations(mirror.object_by_name), mirror.revision
            ),
            remembers_deleted=False,
        )
        self.moves = Mirror(
            MOVES_KIND, store, clock, lambda mirror: gateway.moves.apply_orders(mirror)
        )
        self.routers = Mirror(
            ROUTERS_KIND,
            store,
            clock,
            lambda mirror: gateway.link.apply_registered(mirror.object_by_name),
            remembers_deleted=False,
        )

    def followed(self) -> tuple[Mirror, ...]:
        """Return the mirrors that this deployment has a use for."""
        mirrors = (self.config, self.upstreams.mirror, self.moves, self.routers)
        return (*mirrors, self.evacuations) if self._follows_evacuations else mirrors
