"""The configuration in force; it only ever goes forward."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import WireError
from banyansail.gateway.site import SiteConfig
from banyansail.log import log_event
from banyansail.platform.site import decode_config
from banyansail.wire.call_codec import Document

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import datetime

    from banyansail.clock import Clock
    from banyansail.gateway.mirror import Mirror

MAIN_NAME = "main"  # of the object that holds the configuration
STORE_SOURCE = "store"


class ConfigKeeper:
    """Configuration in force, from the store or from another router.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_change : callable
        Called with each configuration that comes into force.
    """

    __slots__ = ("_clock", "_on_change", "_text", "since", "site")

    def __init__(self, clock: Clock, on_change: Callable[[SiteConfig], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._text = ""
        self.site = SiteConfig()
        self.since: datetime = clock.now()

    def follow(self, mirror: Mirror) -> None:
        """Take in what the store holds."""
        stored = mirror.object_by_name.get(MAIN_NAME)
        if stored is not None:
            self.take(stored.spec, STORE_SOURCE)

    def take_document(self, document: Document, source: str) -> None:
        """Take in what another router has in force."""
        self.take(json.loads(document.text), source)

    def take(self, body: Any, source: str) -> None:
        """Put a configuration in force if it is newer."""
        try:
            site = decode_config(body)
        except WireError as error:
            log_event("config_unreadable", error=error.message, source=source)
            return
        if site.version <= self.site.version:
            return
        self.site = site
        self._text = json.dumps(body)
        self.since = self._clock.now()
        log_event("config_in_force", version=site.version, source=source)
        self._on_change(site)

    def document(self) -> Document | None:
        """Return the configuration for other routers, if there is one."""
        return Document(self.site.version, self._text) if self._text else None
