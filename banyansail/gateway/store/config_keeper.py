"""Active configuration of this router; its version never decreases."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import WireError
from banyansail.gateway.site import SiteConfig
from banyansail.log import log_event
from banyansail.platform.site import decode_config
from banyansail.wire.call_types import Document

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import datetime

    from banyansail.clock import Clock
    from banyansail.gateway.store.mirror import Mirror

CONFIG_OBJECT_NAME = "main"  # store object that holds the configuration
STORE_SOURCE = "store"


class ConfigKeeper:
    """Holder of the active configuration, from the store or another router.

    Parameters
    ----------
    clock : Clock
        Source of time.
    on_change : callable
        Called with each configuration that becomes active.
    """

    __slots__ = (
        "_clock",
        "_json_text",
        "_on_change",
        "active_since",
        "site",
        "store_version",
    )

    def __init__(self, clock: Clock, on_change: Callable[[SiteConfig], None]) -> None:
        self._clock = clock
        self._on_change = on_change
        self._json_text = ""
        self.site = SiteConfig()
        self.store_version = 0  # the newest one that came from the store's mirror
        self.active_since: datetime = clock.now()

    def apply_mirror(self, mirror: Mirror) -> None:
        """Apply the configuration object in the store mirror."""
        stored = mirror.object_by_name.get(CONFIG_OBJECT_NAME)
        if stored is not None:
            self.apply(stored.spec, STORE_SOURCE)

    def apply_document(self, document: Document, source: str) -> None:
        """Apply the active configuration of another router."""
        try:
            body = json.loads(document.text)
        except ValueError as error:
            log_event("config_unreadable", error=str(error), source=source)
            return
        self.apply(body, source)

    def apply(self, body: Any, source: str) -> None:
        """Activate a configuration if its version is newer."""
        try:
            site = decode_config(body)
        except WireError as error:
            log_event("config_unreadable", error=error.message, source=source)
            return
        if source == STORE_SOURCE:
            self.store_version = max(self.store_version, site.version)
        if site.version <= self.site.version:
            return
        self.site = site
        self._json_text = json.dumps(body)
        self.active_since = self._clock.now()
        log_event("config_in_force", version=site.version, source=source)
        self._on_change(site)

    def document(self) -> Document | None:
        """Return the active configuration as a document for other routers, if any."""
        return Document(self.site.version, self._json_text) if self._json_text else None
