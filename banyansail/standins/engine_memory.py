"""Copies of the memory of runs, which the engines of one test pass to each other."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

from banyansail.standins.web import answer_json, read_json, sleep

if TYPE_CHECKING:
    from collections.abc import Iterator

    from twisted.web.server import Request

COPY_PATH = b"/v1/kv-move"
FREE_PATH = b"/v1/kv-handle/"


@dataclass(slots=True)
class Run:
    """A stream that an engine produces.

    Parameters
    ----------
    events : int
        Events made so far.
    is_stopped : bool
        Whether the engine stopped it in order to let it continue elsewhere.
    """

    events: int = 0
    is_stopped: bool = False


@dataclass(slots=True)
class Copy:
    """Copy of a run's memory at another engine; it can be used once."""

    attempt_id: str
    source: str
    target: str
    is_used: bool = False


@dataclass(slots=True)
class CopyFaults:
    """Faults of copies, set by attribute name.

    Parameters
    ----------
    copy_s : float
        Time that each copy takes.
    refuses_copies, refuses_last : bool
        Whether there is no room for a first copy, or for the last one.
    loses_last_answer : bool
        Whether a run is stopped and the call is never answered.
    refuses_continuations : bool
        Whether copies can't be used.
    fails_continuations : bool
        Whether continued requests are answered with 500.
    """

    copy_s: float = 0.01
    refuses_copies: bool = False
    refuses_last: bool = False
    loses_last_answer: bool = False
    refuses_continuations: bool = False
    fails_continuations: bool = False


@dataclass(slots=True)
class EngineMemory:
    """Runs and copies of all engines of one test.

    Parameters
    ----------
    working : Counter
        Engines that work on a request, by its id.
    overlaps : list of str
        Requests that two engines worked on at the same time.
    freed : list of str
        Handles of the copies that were freed.
    handle_numbers : iterator of int
        Numbers of the handles to come.
    """

    faults: CopyFaults = field(default_factory=CopyFaults)
    run_by_engine_and_id: dict[tuple[str, str], Run] = field(default_factory=dict)
    copy_by_handle: dict[str, Copy] = field(default_factory=dict)
    handle_numbers: Iterator[int] = field(default_factory=count)
    working: Counter[str] = field(default_factory=Counter)
    overlaps: list[str] = field(default_factory=list)
    freed: list[str] = field(default_factory=list)

    def start(self, engine: str, attempt_id: str) -> Run:
        """Record that an engine begins to work on a request."""
        self.working[attempt_id] += 1
        if self.working[attempt_id] > 1:
            self.overlaps.append(attempt_id)
        run = Run()
        self.run_by_engine_and_id[engine, attempt_id] = run
        return run

    def end(self, attempt_id: str) -> None:
        """Record that an engine no longer works on a request."""
        self.working[attempt_id] -= 1

    async def answer(self, engine: str, request: Request) -> None:
        """Answer a call that copies a run or frees a copy."""
        if request.path.startswith(FREE_PATH):
            self.freed.append(request.path[len(FREE_PATH) :].decode())
            answer_json(request, {})
            return
        body = read_json(request)
        run = self.run_by_engine_and_id.get((engine, body["id"]))
        if run is None or not self.working[body["id"]]:
            answer_json(request, {}, status=404)
            return
        await self._copy(engine, request, body, run)

    async def _copy(
        self, engine: str, request: Request, body: dict[str, str], run: Run
    ) -> None:
        run.is_stopped = run.is_stopped or bool(body["last"])
        handle = f"h{next(self.handle_numbers)}"
        if self.faults.refuses_copies or (self.faults.refuses_last and body["last"]):
            answer = {}
            if body["last"]:
                self.copy_by_handle[handle] = Copy(body["id"], engine, "")
                answer = {"handle": handle}
            answer_json(request, answer, status=503)
            return
        if self.faults.loses_last_answer and body["last"]:
            return
        await sleep(self.faults.copy_s)
        self.copy_by_handle[handle] = Copy(body["id"], engine, body["target"])
        answer_json(request, {"handle": handle, "created": run.events})

    def take(self, engine: str, memory: str, attempt_id: str) -> bool:
        """Use a copy for a request that continues; return whether it is good."""
        copy = self.copy_by_handle.get(memory.partition("/")[2])
        if copy is None or copy.is_used or self.faults.refuses_continuations:
            return False
        run = self.run_by_engine_and_id[copy.source, copy.attempt_id]
        is_here = copy.target == engine or (copy.source == engine and run.is_stopped)
        if not is_here or copy.attempt_id != attempt_id:
            return False
        copy.is_used = True
        return True
