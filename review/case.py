"""The frame of a case: record, folder, exit code, end of all processes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.fleet import Fleet
from review.record import Record

BROKEN, HELD, NOT_RUN = 1, 0, 2
Play = Callable[[Fleet, Record, bool], Awaitable[list[str]]]


class NotPlayedError(Exception):
    """The case could not be played as it is meant."""


def run_case(file: str, zones: list[str], play: Play) -> None:
    """Play a case and exit with its result.

    Parameters
    ----------
    file : str
        Module of the case; `record.txt` is written beside it.
    play : callable
        Coroutine function that plays the case, without its disruption if its last
        argument is false, and returns how the rule was broken, a line each.
    """
    sys.exit(asyncio.run(_run(Path(file).resolve().parent, zones, play)))


async def _run(folder: Path, zones: list[str], play: Play) -> int:
    # The processes are ended also if the script is.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as scratch:
        fleet = Fleet(Path(scratch), zones)
        try:
            findings = await play(fleet, record, has_trouble)
        except (Exception, asyncio.CancelledError) as error:
            if not isinstance(error, NotPlayedError | asyncio.CancelledError):
                traceback.print_exc()
            record.write("not-run", repr(error))
            print(f"not run: {error!r}")
            for output in sorted(Path(scratch).glob("*.out")):
                if keep := os.environ.get("KEEP"):
                    Path(keep, output.name).write_bytes(output.read_bytes())
            return NOT_RUN
        finally:
            fleet.stop()
        if keep := os.environ.get("KEEP"):
            for output in sorted(Path(scratch).glob("*.out")):
                Path(keep, output.name).write_bytes(output.read_bytes())
    for finding in findings:
        record.write("broken", finding)
        print(finding)
    print("the rule was broken" if findings else "the rule held")
    record.close()
    return BROKEN if findings else HELD
