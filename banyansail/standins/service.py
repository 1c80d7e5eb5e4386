"""Stand-in for a plain service: an idempotent lookup and a non-idempotent order."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.web.server import Request

from banyansail.standins.web import (
    StandinResource,
    TrackingSite,
    answer_json,
    request_path,
    sleep,
)


@dataclass(slots=True)
class ServiceFaults:
    """Fault switches, set by attribute name over HTTP.

    Parameters
    ----------
    delay_s : float
        Time before every answer.
    fail : bool
        Every call is answered with 500; orders still take effect.
    refuse : bool
        Every call is answered with 503 without being run.
    drop_answers : int
        Number of calls that are run and whose connections are then aborted.
    truncate : int
        Number of answers whose bodies are cut short.
    crash_on : str
        A body with this text crashes the service.
    """

    delay_s: float = 0.0
    fail: bool = False
    refuse: bool = False
    drop_answers: int = 0
    truncate: int = 0
    crash_on: str = ""


@dataclass(slots=True)
class ServiceState:
    """State of a service.

    Parameters
    ----------
    effects : dict
        How often each order took effect, by its key, or by its body without one.
    """

    name: str = "service"
    faults: ServiceFaults = field(default_factory=ServiceFaults)
    effects: dict[str, int] = field(default_factory=dict)
    in_flight: int = 0
    calls: int = 0


class ServiceStandin(StandinResource):
    """HTTP interface of a plain service.

    Parameters
    ----------
    state : ServiceState
        State of the service; replicas of one service may share its effects.
    crash : callable
        Called when a request crashes the service.
    clock : object
        Provider of ``callLater``, such as the reactor.
    """

    def __init__(
        self, state: ServiceState, crash: Callable[[], None], clock: Any
    ) -> None:
        super().__init__()
        self.state = state
        self.site: TrackingSite | None = None
        self._crash = crash
        self._clock = clock

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        match request_path(request).strip("/").split("/"):
            case ["health"]:
                answer_json(request, {"name": self.state.name})
            case ["load"]:
                answer_json(request, {"in_flight": self.state.in_flight})
            case ["effects"]:
                answer_json(request, self.state.effects)
            case ["faults"]:
                self.set_faults(request, self.state.faults, self.site)
            case ["stock", sku]:
                await self._answer(request, lambda: {"sku": sku, "stock": len(sku)})
            case ["orders"] if request.method == b"POST":
                key = request.getHeader("idempotency-key")
                await self._answer(request, lambda: self._record_order(request, key))
            case ["orders", "by-key", key]:
                answer_json(request, {"ran": key in self.state.effects})
            case _:
                answer_json(request, {"error": "no such path"}, 404)

    def _record_order(self, request: Request, key: str | None) -> dict[str, Any]:
        request.content.seek(0)
        name = key or request.content.read().decode("utf-8", "replace")
        self.state.effects[name] = self.state.effects.get(name, 0) + 1
        return {"order": name, "by": self.state.name}

    async def _answer(
        self, request: Request, compute_result: Callable[[], Any]
    ) -> None:
        faults = self.state.faults
        self.state.calls += 1
        if faults.refuse:
            request.setHeader("x-ran", "not_run")
            answer_json(request, {"error": "refused"}, 503)
            return
        body = request.content.read().decode("utf-8", "replace")
        if faults.crash_on and faults.crash_on in body:
            self._crash()
            return
        self.state.in_flight += 1
        result = compute_result()
        if faults.delay_s:
            await sleep(faults.delay_s)
        self.state.in_flight -= 1
        self._send_result(request, result)

    def _send_result(self, request: Request, result: Any) -> None:
        faults = self.state.faults
        request.setHeader("x-request-id", request.getHeader("x-request-id") or "")
        if faults.drop_answers > 0:
            faults.drop_answers -= 1
            request.transport.abortConnection()
        elif faults.truncate > 0:
            faults.truncate -= 1
            request.setHeader("content-length", "1000")
            request.write(b'{"order": ')
            request.transport.loseConnection()
        elif faults.fail:
            answer_json(request, {"error": "failed"}, 500)
        else:
            answer_json(request, result)
