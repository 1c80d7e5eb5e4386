"""Copies of the memory of runs between scripted upstreams, so that runs move."""

from __future__ import annotations

import http.client
import json
import threading
from dataclasses import dataclass, field
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

COPY_PATH = "/v1/kv-move"
FREE_PATH = "/v1/kv-handle/"
RECEIVE_PATH = "/soak/copies"  # from upstream to upstream
CALL_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 1.0


@dataclass(slots=True)
class ActiveRun:
    """A run in progress at this upstream.

    Parameters
    ----------
    events : int
        Id of its latest event.
    stop : threading.Event
        Set in order to let it go on elsewhere.
    ended : threading.Event
        Set once it is no longer worked on.
    """

    attempt: str
    events: int = 0
    stop: threading.Event = field(default_factory=threading.Event)
    ended: threading.Event = field(default_factory=threading.Event)


@dataclass(slots=True)
class EngineCopies:
    """Runs and copies of one upstream.

    Parameters
    ----------
    address : str
        Address of this upstream.
    attempt_by_handle : dict
        Request of each copy that can be used here; a copy is used once.
    """

    address: str
    run_by_attempt: dict[str, ActiveRun] = field(default_factory=dict)
    attempt_by_handle: dict[str, str] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=count)

    def copy(self, body: dict[str, str]) -> tuple[int, dict[str, object]]:
        """Copy a run to another upstream; return the status and body of the answer."""
        run = self.run_by_attempt.get(body["id"])
        if run is None:
            return 404, {}
        if body["last"]:
            run.stop.set()
            if not run.ended.wait(STOP_TIMEOUT_S):
                return 404, {}
        handle = f"{self.address.rpartition(':')[2]}-{next(self.numbers)}"
        is_sent = self._send(body["target"], handle, run.attempt)
        if body["last"]:
            self.attempt_by_handle[handle] = run.attempt  # the source keeps it
        if is_sent:
            return 200, {"handle": handle, "created": run.events}
        return 503, {"handle": handle} if body["last"] else {}

    def _send(self, target: str, handle: str, attempt: str) -> bool:
        connection = http.client.HTTPConnection(target, timeout=CALL_TIMEOUT_S)
        try:
            copy = json.dumps({"handle": handle, "attempt": attempt})
            connection.request("POST", RECEIVE_PATH, copy)
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def receive(self, body: dict[str, str]) -> None:
        """Keep a copy from another upstream."""
        self.attempt_by_handle[body["handle"]] = body["attempt"]

    def take(self, memory: str, attempt: str) -> bool:
        """Use a copy for a request; return whether it is good."""
        return self.attempt_by_handle.pop(memory.partition("/")[2], None) == attempt
