"""A version that was moved to before is ordered again and is bad this time."""

from __future__ import annotations

import asyncio
import random

from review.case import NotPlayedError, run_case
from review.fleet import Fleet
from review.http import Message
from review.record import Record
from review.rollout import (
    ZONES,
    exposure_findings,
    good_move_findings,
    start_site,
)

REQUESTS_PER_S = 30
FIRST_DURATION_S = 12
LAST_DURATION_S = 20
FAILING_SHARE = 0.4


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> list[str]:
    """Move to v2, back to v1 and to v2 again; return how the rule was broken."""
    operator, clients = await start_site(fleet, record, REQUESTS_PER_S)
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
    return await good_move_findings(operator, order)


if __name__ == "__main__":
    run_case(__file__, ZONES, play)
