"""Work that a gateway repeats for the duties of the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from banyansail.gateway.duties.scaler import Scaler
    from banyansail.gateway.duties.usage_reporter import UsageReporter
    from banyansail.gateway.site import SiteConfig


class DutyWork:
    """Coroutines of the duties, which do nothing while others are better fit for them.

    Parameters
    ----------
    reporter : UsageReporter
        Reports usage while it holds the lease.
    scaler : Scaler
        Orders replicas while the lease is held.
    site : callable
        Returns the active configuration.
    is_unfit : callable
        Returns whether this router is draining or cannot reach the store.
    is_leaving : callable
        Returns whether this router is draining.
    """

    __slots__ = ("_is_leaving", "_is_unfit", "_reporter", "_scaler", "_site")

    def __init__(
        self,
        reporter: UsageReporter,
        scaler: Scaler,
        site: Callable[[], SiteConfig],
        is_unfit: Callable[[], bool],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._reporter = reporter
        self._scaler = scaler
        self._site = site
        self._is_unfit = is_unfit
        self._is_leaving = is_leaving

    async def report_usage(self) -> None:
        """Report usage to the platform if this router is fit for duties."""
        if not self._is_unfit():
            await self._reporter.report(list(self._site().workspace_by_name))

    async def scale(self) -> None:
        """Scale the replicas unless this router is draining."""
        if not self._is_leaving():
            await self._scaler.scale(self._site())
