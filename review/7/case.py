"""Case 7: one malformed entry keeps the routers from applying the others' changes."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from review.site_2 import (
    BROKEN,
    HELD,
    NOT_RUN,
    ZONES,
    Site,
    configuration,
    has_trouble,
)

SERVICE, OTHER = "depot", "drafts"
DRAIN_S = 2.0
SERVES_ON_S = 6.0  # after the store accepted `draining`


async def play(site: Site) -> int:
    """Play a release of one replica; judge DRAIN."""
    site.store.put("config", "main", spec=configuration(3, [SERVICE, OTHER]))
    for number in range(4):
        await site.add_replica(f"i-old{number}", SERVICE, ZONES[number % 3])
        await site.add_replica(f"i-other{number}", OTHER, ZONES[number % 3])
    site.routers.start_all()
    for name in site.routers.hosts:
        if not await site.wait_ready(name):
            return NOT_RUN
    await asyncio.sleep(4)
    for name in site.routers.hosts:
        for _ in range(2):
            site.begin(site.send_orders(name, SERVICE, 0.1))
    await asyncio.sleep(4)
    old = site.replicas["i-old0"]
    await site.add_replica("i-new0", SERVICE, old.zone)
    await asyncio.sleep(0.15)
    if has_trouble():
        entry = {
            "service": OTHER,
            "address": f"{site.routers.net}.99:9",
            "zone": old.zone,
            "version": "1",
            "slots": 6,
            "state": "ready",
            "born": time.time_ns(),  # no Unix millisecond; `coldLeftMs`, `seq` missing
        }
        site.store.put("servers", "i-other-writer", spec=entry)
        site.note("entry of another writer", **entry)
    old.register(site.store, "draining")
    drained_at = time.time()
    site.note("draining accepted by the store", id=old.id)
    await asyncio.sleep(SERVES_ON_S)
    site.store.delete("servers", old.id)
    old.stop()
    site.note("replica ends", id=old.id, orders_cut=old.cut)
    await asyncio.sleep(2)
    late = [
        item for item in old.arrivals if item.ran and item.at > drained_at + DRAIN_S
    ]
    ok = sum(item.status == 200 for item in site.results)
    site.note(
        "verdict",
        requests=len(site.results),
        answered_200=ok,
        arrivals_after_drainMs=len(late),
        cut=len(old.cut),
        last_late_s=round(late[-1].at - drained_at, 3) if late else None,
    )
    print(
        f"{len(late)} requests ran at the replica later than drainMs after its leaving "
        f"was acknowledged; {len(old.cut)} were at work there as it ended"
    )
    if ok < len(site.results) / 2:
        return NOT_RUN
    return BROKEN if late else HELD


async def main() -> int:
    """Play the case."""
    try:
        async with Site(Path(__file__).parent, 9) as site:
            return await play(site)
    except (OSError, AssertionError) as error:
        print(f"the case could not run: {error}", file=sys.stderr)
        return NOT_RUN


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
