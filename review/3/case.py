"""A version that was moved to before is ordered again and is bad this time."""

from __future__ import annotations

import asyncio
import random

from review.common.case import NotPlayedError, run_case
from review.common.client import Clients
from review.common.fleet import Fleet
from review.common.http import Message
from review.common.platform import Store
from review.common.record import Record
from review.common.rollout import (
    ZONES,
    Operator,
    configuration,
    exposure_findings,
    kinds,
)

REQUESTS_PER_S = 30
FIRST_DURATION_S = 12
LAST_DURATION_S = 20
FAILING_SHARE = 0.4


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> list[str]:
    """Move to v2, back to v1 and to v2 again; return how the rule was broken."""
    store = Store()
    host = fleet.host(250)
    fleet.store_address = f"{host}:{await store.server().listen(host)}"
    store.put("config", "main", spec=configuration())
    operator = Operator(store, fleet, record)
    await operator.start_replicas("v1")
    await fleet.start()
    clients = Clients(fleet.gateways, kinds(0.287), REQUESTS_PER_S, record)
    clients.start()
    await asyncio.sleep(4)
    for old, target in (("v1", "v2"), ("v2", "v1")):
        order = await operator.order(
            old, target, FIRST_DURATION_S, lambda request: False
        )
        state = await operator.wait_for_end(order, FIRST_DURATION_S + 5)
        if state != "completed":
            raise NotPlayedError(f"the move to the good {target} is {state}")
        await asyncio.sleep(2)
    draw = random.Random(1)

    def fails(request: Message) -> bool:
        return has_trouble and draw.random() < FAILING_SHARE

    order = await operator.order("v1", "v2", LAST_DURATION_S, fails)
    await asyncio.sleep(LAST_DURATION_S + 5)
    await clients.stop()
    if has_trouble:
        return exposure_findings(record, order)
    state = await operator.wait_for_end(order, 0.1)
    return [] if state == "completed" else [f"the move to a good version is {state}"]


if __name__ == "__main__":
    run_case(__file__, ZONES, play)
