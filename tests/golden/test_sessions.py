"""Compares complete sessions with golden files.

``BANYANSAIL_WRITE_GOLDEN=1 python -m pytest tests/golden`` regenerates the files;
review the diff before committing it.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import eliot
import pytest

from banyansail.standins.engine_state import EngineOptions
from tests.live import LiveSite, in_reactor
from tests.processes import completion, wait_until

FOLDER = Path(__file__).parent
RECORDED_HEADERS = ("x-ran", "retry-after", "content-type")
RECORDED_FIELDS = ("decision", "reason", "upstream", "version", "ran", "detail")
COMPLETIONS = "/v1/chat/completions"


class Session:
    """Records the calls of a session with their answers and logged decisions."""

    def __init__(self, live: LiveSite) -> None:
        self._live = live
        self._log_lines: list[dict[str, Any]] = []
        self.steps: list[dict[str, Any]] = []

    def __enter__(self) -> Session:
        eliot.add_destinations(self._log_lines.append)
        return self

    def __exit__(self, *exc_info: object) -> None:
        eliot.remove_destination(self._log_lines.append)

    def note(self, text: str) -> None:
        self.steps.append({"note": text})

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> None:
        status, response_headers, response_body = self._live.call(
            method, path, body, **headers
        )
        request_id = response_headers["x-request-id"]
        decisions = [
            {name: line[name] for name in RECORDED_FIELDS if name in line}
            for line in list(self._log_lines)
            if line.get("request") == request_id and "decision" in line
        ]
        self.steps.append(
            {
                "call": f"{method} {path}",
                "headers": headers,
                "status": status,
                "answer_headers": {
                    name: response_headers[name]
                    for name in RECORDED_HEADERS
                    if name in response_headers
                },
                "answer": response_body.decode()
                .replace(request_id, "REQUEST")
                .split("\n\n"),
                "decisions": decisions,
            }
        )


def site_with_upstreams() -> LiveSite:
    live = LiveSite()
    live.__enter__()
    for number in range(2):
        live.engine(f"e{number}", "glasgow", EngineOptions(token_s=0.005))
    live.service("s0", "glasgow")
    live.start()
    return live


def run_without_faults(live: LiveSite, session: Session) -> None:
    """Send questions, a draft, lookups and orders without any fault."""
    session.call(
        "POST", COMPLETIONS, completion("which blade?", 3), x_workspace="counter"
    )
    session.call(
        "POST",
        COMPLETIONS,
        completion("a draft", 3, stream=True),
        x_workspace="drafts",
    )
    session.call("GET", "/depot-app/stock/clip9")
    session.call("POST", "/depot-app/orders", {"sku": "clip9"}, idempotency_key="k1")
    session.call("POST", "/depot-app/orders", {"sku": "clip9"}, idempotency_key="k1")
    session.call("POST", "/depot-app/orders", {"sku": "other"}, idempotency_key="k1")
    session.call("GET", "/depot-app/nothing")
    session.call("GET", "/unknown/x")


def run_with_faults(live: LiveSite, session: Session) -> None:
    """Send requests while engines refuse, an answer is lost, the platform is down."""
    session.note("both engines refuse")
    live.faults("e0", refuse=True)
    live.faults("e1", refuse=True)
    session.call("POST", COMPLETIONS, completion("refused", 3), x_workspace="counter")
    live.faults("e0", refuse=False)
    live.faults("e1", refuse=False)
    session.note("the answer to an order is lost")
    live.faults("s0", drop_answers=1)
    session.call("POST", "/depot-app/orders", {"n": 1}, idempotency_key="lost")
    router = live.site.router_by_name["r0"]
    clock = router.clock
    state = router.dispatcher.state_by_name["s0"]
    wait_until(lambda: in_reactor(state.has_room, clock.monotonic()))
    session.note("the platform is down")
    live.platform_faults(outage=True)
    session.call("POST", "/depot-app/orders", {"n": 2}, idempotency_key="down")
    session.call("GET", "/depot-app/stock/a")
    session.call("POST", COMPLETIONS, completion("still here", 3))


SESSION_BY_NAME = {"quiet_day": run_without_faults, "bad_day": run_with_faults}


@pytest.mark.parametrize("name", list(SESSION_BY_NAME))
def test_session_matches_its_golden_file(name):
    live = site_with_upstreams()
    try:
        with Session(live) as session:
            SESSION_BY_NAME[name](live, session)
    finally:
        live.__exit__(None, None, None)
    golden_file = FOLDER / f"{name}.json"
    text = json.dumps(session.steps, indent=1, ensure_ascii=False) + "\n"
    if os.environ.get("BANYANSAIL_WRITE_GOLDEN"):
        golden_file.write_text(text, encoding="utf-8")
    assert json.loads(text) == json.loads(golden_file.read_text(encoding="utf-8"))
