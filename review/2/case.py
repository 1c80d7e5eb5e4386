"""A drill of the store as the gateways are about to be restarted one by one."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from review.case import NotPlayedError, run_case
from review.client import Clients
from review.fleet import Fleet
from review.platform import DutyCall, Store, StoreCopy
from review.record import Record
from review.rollout import (
    LOOKUP_SHARE,
    ZONES,
    Operator,
    configuration,
    kinds,
)

REQUESTS_PER_S = 30
REPORTS_BEFORE = 3  # of usage, before the drill
AWAY_S = 0.8  # of the store in the drill
COPY_AGE_S = 3.0  # of the copy that the store comes back from
COPY_INTERVAL_S = 0.25
ROLL_DELAY_S = 0.5  # from the return of the store
ROLL_GAP_S = 3.0  # from one restart to the next
TIME_AFTER_S = 20


async def play(fleet: Fleet, record: Record, has_trouble: bool) -> list[str]:
    """Play the drill right after a report of usage, then the restarts."""
    store = Store()
    host = fleet.host(250)
    fleet.store_address = f"{host}:{await store.server().listen(host)}"
    store.put("config", "main", spec=configuration())
    store.on_call = lambda call: record_call(record, call)
    await Operator(store, fleet, record).start_replicas("v1")
    await fleet.start()
    clients = Clients(fleet.gateways, kinds(LOOKUP_SHARE), REQUESTS_PER_S, record)
    clients.start()
    copies: list[StoreCopy] = []
    copying = asyncio.create_task(take_copies(store, copies))
    await wait_for_report(store, REPORTS_BEFORE)
    copying.cancel()
    if has_trouble:
        await play_drill(store, record, copies)
    await asyncio.sleep(ROLL_DELAY_S)
    await restart_all(fleet, record)
    await asyncio.sleep(TIME_AFTER_S)
    await clients.stop()
    return one_findings(store.calls)


def record_call(record: Record, call: DutyCall) -> None:
    """Write a call of a duty to the record."""
    record.write("duty", call.path, call.holder, call.token, call.body)


async def take_copies(store: Store, copies: list[StoreCopy]) -> None:
    """Take copies of the store, as a platform that can go back to them does."""
    while True:
        copies.append(store.copy())
        await asyncio.sleep(COPY_INTERVAL_S)


async def wait_for_report(store: Store, count: int) -> None:
    """Wait until usage was reported some times."""
    deadline = time.monotonic() + 60
    while time.monotonic() < deadline:
        reports = [call for call in store.calls if call.path == "/usage"]
        if len(reports) >= count:
            return
        await asyncio.sleep(0.02)
    raise NotPlayedError("usage is not reported")


async def play_drill(store: Store, record: Record, copies: list[StoreCopy]) -> None:
    """Let the store be away for a moment and come back from a copy."""
    record.write("store-away")
    away_at = time.time()
    store.go_away()
    await asyncio.sleep(AWAY_S)
    old = [item for item in copies if item.taken_at <= away_at - COPY_AGE_S]
    store.restore(old[-1])
    record.write("store-back", f"era {store.era}")


async def restart_all(fleet: Fleet, record: Record) -> None:
    """Restart the gateways as planned, one after the other."""
    restarts = []
    for gateway in fleet.gateways:
        record.write("restart", gateway.name)
        restarts.append(asyncio.create_task(gateway.restart()))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*restarts)


def one_findings(calls: list[DutyCall]) -> list[str]:
    """Return the windows for which two reports with different counts were accepted."""
    findings = []
    first_by_window: dict[Any, DutyCall] = {}
    for call in calls:
        if call.path != "/usage":
            continue
        first = first_by_window.setdefault(call.body["windowId"], call)
        if call.body["counts"] != first.body["counts"]:
            findings.append(
                f"ONE: window {call.body['windowId']} was reported as "
                f"{first.body['counts']} by {first.holder} with token {first.token} "
                f"and {call.at - first.at:.1f} s later as {call.body['counts']} by "
                f"{call.holder} with token {call.token}"
            )
    return findings


if __name__ == "__main__":
    run_case(__file__, ZONES, play)
