"""Duty calls to the platform: usage reports and orders of replicas."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.platform import names
from banyansail.upstreams.http_call import HttpCaller

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

CALL_TIMEOUT = timedelta(seconds=1.0)
ACCEPTED_STATUSES = (200, 201, 202, 204)


class Cloud:
    """Calls that only the holder of a duty makes.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        The cloud's API.
    holder : str
        Name of this router.
    """

    def __init__(
        self, reactor: Any, clock: Clock, address: Address, holder: str
    ) -> None:
        self._caller = HttpCaller(reactor, clock, address)
        self._holder = holder

    def close(self) -> None:
        """Close the connections."""
        self._caller.close()

    async def report_usage(
        self, window: int, count_by_workspace: dict[str, int], fence: int
    ) -> bool:
        """Report the requests that began in a window; return whether it was taken."""
        body = {"windowId": window, "counts": count_by_workspace}
        return await self._order("/usage", body, fence) in ACCEPTED_STATUSES

    async def order_replicas(
        self, service: str, zone: str, wanted: int, fence: int, *, reclaimable: bool
    ) -> int:
        """Order a number of replicas; return the HTTP status."""
        body = {"service": service, "zone": zone, "desired": wanted}
        if reclaimable:
            body["spot"] = True
        return await self._order("/scale", body, fence)

    async def _order(self, target: str, body: dict[str, Any], fence: int) -> int:
        headers = [
            (names.DUTY_HOLDER, self._holder.encode()),
            (names.FENCE, b"%d" % fence),
        ]
        answer = await self._caller.call(
            "POST", target, CALL_TIMEOUT, body=body, headers=headers
        )
        return answer.status
