"""Requests that a router cut off from all upstreams passes through another router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.gateway.requests.attempt import Attempt, StreamSink
from banyansail.platform.calls import encode_relayed

if TYPE_CHECKING:
    from collections.abc import Callable
    from datetime import timedelta

    from banyansail.config.fields import Address
    from banyansail.fleet.entries import Member
    from banyansail.gateway.context import GatewayContext
    from banyansail.gateway.decisions.responses.retry_policy import Outcome
    from banyansail.gateway.request_types import CallerCall, ReplyHead


class Relays:
    """Other routers that may reach the upstreams.

    Parameters
    ----------
    context : GatewayContext
        Connections to the routers, and whether this one is cut off.
    live_peers : callable
        Returns the other live routers by name.
    """

    def __init__(
        self, context: GatewayContext, live_peers: Callable[[], dict[str, Member]]
    ) -> None:
        self._context = context
        self._live_peers = live_peers

    def choose(self, excluded: set[Address]) -> Address | None:
        """Return a router for a request; ``None`` if none is needed or there is none.

        Parameters
        ----------
        excluded : set of Address
            Relays that could not be reached with the request.
        """
        if not self._context.reach.is_cut_off:
            return None
        addresses = [
            member.relay
            for member in self._live_peers().values()
            if member.relay is not None
            and member.is_ready
            and not (member.is_leaving or member.is_cut_off)
            and member.relay not in excluded
        ]
        return self._context.random.choice(addresses) if addresses else None

    async def send(
        self,
        address: Address,
        call: CallerCall,
        sink: StreamSink | None,
        *,
        remaining: timedelta,
        last_event_id: str,
        continues_after: str,
        possible_runs: int,
    ) -> Outcome:
        """Send a request through a router and return the outcome.

        Parameters
        ----------
        sink : StreamSink or None
            Receiver of the events of a stream.
        remaining : timedelta
            Time until the request's deadline.
        last_event_id, continues_after : str
            Ids of the last events that the caller and its present response have.
        possible_runs : int
            Earlier attempts that may have run the request.
        """
        attempt = Attempt(
            self._context.pool_of_router(address),
            call.attempt_id,
            sink,
            _ignore_head,
            _ignore_head,
            self._context.answer_budget,
            continues_after,
            is_id_repeated=False,  # rejections of a router name none
        )
        headers = encode_relayed(
            call,
            remaining=remaining,
            last_event_id=last_event_id,
            possible_runs=possible_runs,
        )
        return await attempt.run(call.method, call.target, headers, call.body)


def _ignore_head(head: ReplyHead) -> None:
    """Ignore the head of an answer; the other router has applied it."""
