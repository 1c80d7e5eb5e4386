"""What callers and upstreams saw, and the faults that were struck."""

from __future__ import annotations

import json
import os
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

GIVEN_UP_S = 0.02  # less than the pause before the first event


class Kind(StrEnum):
    """Kind of a request, as its route declares it."""

    STOCK = "stock"  # may be repeated
    ORDERS = "orders"
    DRAFT = "draft"  # a stream that can't be resumed
    RESUMABLE = "resumable"  # a stream that may be resumed

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (Kind.DRAFT, Kind.RESUMABLE)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self in (Kind.STOCK, Kind.RESUMABLE)


class Framing(StrEnum):
    """How the length of a body is told."""

    CHUNKS = "chunks"
    LENGTH = "length"
    NONE = "none"  # the body ends with the connection


class RunEnd(StrEnum):
    """How an upstream ended a run."""

    FULL = "full"  # the whole answer, and the end of its framing
    CLOSED = "closed"  # before its end, in order
    RESET = "reset"
    STOPPED = "stopped"  # in order to go on at another upstream
    EMPTY = "empty"  # an answer without any event
    FAILED = "failed"  # a status that is no success
    LEFT = "left"  # the other side has closed the connection
    CRASHED = "crashed"  # nothing was recorded
    NOT_RUN = "not run"  # rejected on arrival


class ResponseEnd(StrEnum):
    """How a response ended, as its caller saw it."""

    COMPLETE = "complete"  # last chunk seen, or length reached
    CLOSED = "closed"  # in order
    RESET = "reset"
    LEFT = "left"  # the caller left first
    OVERDUE = "overdue"  # the caller gave up, long after the deadline
    REFUSED = "refused"  # no connection


@dataclass(slots=True)
class Run:
    """One run of a request at an upstream.

    Parameters
    ----------
    began_at, ended_at : float
        Seconds of the system's monotonic clock.
    first_event : int
        Id of the event that it begins with.
    is_continuation : bool
        Whether it goes on from the memory of a run that stopped.
    """

    attempt: str
    upstream: str
    number: int
    began_at: float
    first_event: int = 1
    framing: Framing = Framing.CHUNKS
    is_continuation: bool = False
    ended_at: float | None = None
    end: RunEnd = RunEnd.CRASHED

    @property
    def was_given_up(self) -> bool:
        """Whether the router had left before the upstream read the request.

        Such a run begins later than it was sent, and has no place among the others.
        """
        is_left = self.end is RunEnd.LEFT
        return is_left and self.ended_at - self.began_at < GIVEN_UP_S


@dataclass(slots=True)
class Response:
    """What a caller saw of one request.

    Parameters
    ----------
    size : int
        Events that the whole answer has; 1 for an answer that is no stream.
    event_ids : list of int
        Ids of the whole events that arrived, in order.
    has_foreign_data : bool
        Whether data arrived that doesn't belong to the request.
    is_patient : bool
        Whether the caller reads at once and stays to the end.
    event_bytes : int
        Bytes that each event has beyond its id and its request.
    """

    attempt: str
    kind: Kind
    router: str
    size: int
    sent_at: float
    ended_at: float
    deadline_s: float
    end: ResponseEnd
    http_version: str = "1.1"
    status: int | None = None
    framing: Framing = Framing.CHUNKS
    event_ids: list[int] = field(default_factory=list)
    has_foreign_data: bool = False
    is_patient: bool = True
    event_bytes: int = 0

    @property
    def looks_complete(self) -> bool:
        """Whether the caller takes the response for a whole one."""
        if self.status is None:
            return False
        is_closed = self.end is ResponseEnd.CLOSED and self.framing is Framing.NONE
        return is_closed or self.end is ResponseEnd.COMPLETE

    @property
    def is_success(self) -> bool:
        """Whether the answer is a success."""
        return self.status is not None and 200 <= self.status < 300


@dataclass(slots=True)
class Fault:
    """A fault, as it is planned and as it was struck.

    Parameters
    ----------
    start_s, end_s : float
        Seconds after the start of the faults.
    began_at, ended_at : float or None
        When it was struck and ended, by the system's monotonic clock.
    """

    kind: str
    target: str
    start_s: float
    end_s: float
    options: dict[str, Any] = field(default_factory=dict)
    began_at: float | None = None
    ended_at: float | None = None


@dataclass(slots=True)
class Change:
    """A configuration that adds a route, and from some number on removes one.

    Parameters
    ----------
    route : int
        Number of the route that it adds.
    acked_at : float or None
        When the store acknowledged it.
    """

    route: int
    sent_at: float
    acked_at: float | None = None


@dataclass(slots=True)
class Probe:
    """A request that asks a router for an added route.

    Parameters
    ----------
    status : int or None
        Status of the answer; ``None`` if there was none.
    """

    router: str
    route: int
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None


@dataclass(slots=True)
class Evidence:
    """All that was seen in a run of the soak.

    Parameters
    ----------
    retry_slack : float
        Retries that the routers may send in a window beyond a share of the requests.
    """

    responses: list[Response]
    runs_by_attempt: dict[str, list[Run]]  # rejected ones too
    faults: list[Fault] = field(default_factory=list)
    retry_slack: float = 0.0
    duty_calls: list[DutyCall] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    probes: list[Probe] = field(default_factory=list)

    def arrivals_of(self, attempt: str) -> list[Run]:
        """Return the arrivals of a request at upstreams, rejected ones too, by time."""
        return self.runs_by_attempt.get(attempt, [])

    def runs_of(self, attempt: str) -> list[Run]:
        """Return the runs of a request, by their beginning."""
        arrivals = self.arrivals_of(attempt)
        return [run for run in arrivals if run.end is not RunEnd.NOT_RUN]

    def wanted_runs_of(self, attempt: str) -> list[Run]:
        """Return the runs that were not given up before they were read."""
        return [run for run in self.runs_of(attempt) if not run.was_given_up]


@dataclass(slots=True, frozen=True)
class DutyCall:
    """Call of a duty that the platform accepted.

    Parameters
    ----------
    window : int or None
        Window of a report of usage.
    counts : dict or None
        Requests by workspace, in a report of usage.
    """

    at: float
    path: str
    holder: str
    token: int
    window: int | None = None
    counts: dict[str, int] | None = None


@dataclass(slots=True, frozen=True)
class Finding:
    """A rule that was broken."""

    rule: str
    attempt: str
    detail: str


class RecordWriter:
    """Writes a record a line; what was written survives the process."""

    __slots__ = ("_descriptor",)

    def __init__(self, path: Path) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._descriptor = os.open(path, flags, 0o644)

    def write(self, record: Any) -> None:
        """Append a record."""
        os.write(self._descriptor, json.dumps(asdict(record)).encode() + b"\n")


def read_responses(path: Path) -> list[Response]:
    """Read what callers recorded."""
    return [Response(**_typed_response(item)) for item in _read_lines(path)]


def _typed_response(item: dict[str, Any]) -> dict[str, Any]:
    return {
        **item,
        "kind": Kind(item["kind"]),
        "end": ResponseEnd(item["end"]),
        "framing": Framing(item["framing"]),
    }


def read_duty_calls(path: Path) -> list[DutyCall]:
    """Read what the store recorded of duties."""
    return [DutyCall(**item) for item in _read_lines(path)]


def read_runs(paths: list[Path]) -> dict[str, list[Run]]:
    """Read what upstreams recorded: each run at its beginning and at its end."""
    run_by_key: dict[tuple[str, int], Run] = {}
    for path in paths:
        for item in _read_lines(path):
            item["framing"] = Framing(item["framing"])
            item["end"] = RunEnd(item["end"])
            run_by_key[item["upstream"], item["number"]] = Run(**item)
    runs_by_attempt: dict[str, list[Run]] = {}
    for run in sorted(run_by_key.values(), key=lambda item: item.began_at):
        runs_by_attempt.setdefault(run.attempt, []).append(run)
    return runs_by_attempt


def _read_lines(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines()]
