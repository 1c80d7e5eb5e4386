"""Client of the platform's cloud API: usage reports and replica orders."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any

from banyansail.platform import header_names
from banyansail.upstreams.http_call import HttpCaller

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

CALL_TIMEOUT = timedelta(seconds=1.0)
ACCEPTED_STATUSES = (200, 201, 202, 204)


class CloudClient:
    """Calls of the cloud API, made only by the router that holds the duty.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    address : Address
        Address of the cloud API.
    holder : str
        Name of this router, sent as the holder of the duty.
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
        self, window_id: int, count_by_workspace: dict[str, int], fencing_token: int
    ) -> bool:
        """Report the requests started in a window; return whether it was accepted."""
        body = {"windowId": window_id, "counts": count_by_workspace}
        return await self._post("/usage", body, fencing_token) in ACCEPTED_STATUSES

    async def order_replicas(
        self,
        service: str,
        zone: str,
        desired_count: int,
        fencing_token: int,
        *,
        reclaimable: bool,
    ) -> int:
        """Set the desired number of replicas; return the HTTP status."""
        body = {"service": service, "zone": zone, "desired": desired_count}
        if reclaimable:
            body["spot"] = True  # reclaimable, in our terms
        return await self._post("/scale", body, fencing_token)

    async def _post(self, target: str, body: dict[str, Any], fencing_token: int) -> int:
        headers = [
            (header_names.DUTY_HOLDER, self._holder.encode()),
            (header_names.FENCING_TOKEN, b"%d" % fencing_token),
        ]
        answer = await self._caller.call(
            "POST", target, CALL_TIMEOUT, body=body, headers=headers
        )
        return answer.status
