"""Mirrors of what a gateway follows in the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from banyansail.gateway.sharing.fleet_link import ROUTERS_KIND
from banyansail.gateway.store.mirror import Mirror
from banyansail.gateway.store.upstream_table import UpstreamTable
from banyansail.platform.evacuations import EVACUATIONS_KIND
from banyansail.platform.moves import MOVES_KIND
from banyansail.platform.site import differs_in_cold_time_only

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.clock import Clock
    from banyansail.platform.store import StoreClient

CONFIG_KIND = "config"
UPSTREAMS_KIND = "servers"


@dataclass(slots=True, frozen=True)
class MirrorListeners:
    """What is called with a mirror after it has changed."""

    apply_config: Callable[[Mirror], None]
    apply_upstreams: Callable[[Mirror], None]
    apply_evacuations: Callable[[Mirror], None]
    apply_moves: Callable[[Mirror], None]
    apply_routers: Callable[[Mirror], None]


class StoreMirrors:
    """Mirrors of the configuration, upstreams, evacuations, moves and routers.

    Parameters
    ----------
    store : StoreClient
        Store that holds the objects.
    clock : Clock
        Source of time.
    listeners : MirrorListeners
        Apply what changes.
    follows_evacuations : bool
        Whether data centres of this deployment may be evacuated.
    """

    __slots__ = (
        "_follows_evacuations",
        "config",
        "evacuations",
        "moves",
        "routers",
        "upstreams",
    )

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        listeners: MirrorListeners,
        *,
        follows_evacuations: bool,
    ) -> None:
        self._follows_evacuations = follows_evacuations
        self.config = Mirror(CONFIG_KIND, store, clock, listeners.apply_config)
        self.upstreams = UpstreamTable(
            Mirror(
                UPSTREAMS_KIND,
                store,
                clock,
                listeners.apply_upstreams,
                keeps_lapsed=True,
                is_minor_change=differs_in_cold_time_only,
            )
        )
        self.evacuations = Mirror(
            EVACUATIONS_KIND,
            store,
            clock,
            listeners.apply_evacuations,
            remembers_deleted=False,
        )
        self.moves = Mirror(MOVES_KIND, store, clock, listeners.apply_moves)
        self.routers = Mirror(
            ROUTERS_KIND,
            store,
            clock,
            listeners.apply_routers,
            remembers_deleted=False,
        )

    def followed(self) -> tuple[Mirror, ...]:
        """Return the mirrors that this deployment has a use for."""
        mirrors = (self.config, self.upstreams.mirror, self.moves, self.routers)
        return (*mirrors, self.evacuations) if self._follows_evacuations else mirrors
