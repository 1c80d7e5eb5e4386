"""Whole sessions against golden files.

Written anew by ``BANYANSAIL_WRITE_GOLDEN=1 python -m pytest tests/golden``; read the
difference before it is committed.
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
SHOWN_HEADERS = ("x-ran", "retry-after", "content-type")
SHOWN_FIELDS = ("decision", "reason", "upstream", "version", "ran", "detail")
COMPLETIONS = "/v1/chat/completions"


class Session:
    """Calls of a session, with the answers and the decisions behind them."""

    def __init__(self, live: LiveSite) -> None:
        self._live = live
        self._lines: list[dict[str, Any]] = []
        self.steps: list[dict[str, Any]] = []

    def __enter__(self) -> Session:
        eliot.add_destinations(self._lines.append)
        return self

    def __exit__(self, *exc_info: object) -> None:
        eliot.remove_destination(self._lines.append)

    def note(self, text: str) -> None:
        self.steps.append({"note": text})

    def call(self, method: str, path: str, body: Any = None, **headers: str) -> None:
        status, fields, data = self._live.call(method, path, body, **headers)
        request = fields["x-request-id"]
        decisions = [
            {name: line[name] for name in SHOWN_FIELDS if name in line}
            for line in list(self._lines)
            if line.get("request") == request and "decision" in line
        ]
        self.steps.append(
            {
                "call": f"{method} {path}",
                "headers": headers,
                "status": status,
                "answer_headers": {
                    name: fields[name] for name in SHOWN_HEADERS if name in fields
                },
                "answer": data.decode().replace(request, "REQUEST").split("\n\n"),
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


def quiet_day(live: LiveSite, session: Session) -> None:
    """Questions, a draft, lookups and orders, with nothing failing."""
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


def bad_day(live: LiveSite, session: Session) -> None:
    """An engine refuses, an order's answer is lost, the platform is down."""
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


SESSIONS = {"quiet_day": quiet_day, "bad_day": bad_day}


@pytest.mark.parametrize("name", list(SESSIONS))
def test_session_matches_its_golden_file(name):
    live = site_with_upstreams()
    try:
        with Session(live) as session:
            SESSIONS[name](live, session)
    finally:
        live.__exit__(None, None, None)
    file = FOLDER / f"{name}.json"
    text = json.dumps(session.steps, indent=1, ensure_ascii=False) + "\n"
    if os.environ.get("BANYANSAIL_WRITE_GOLDEN"):
        file.write_text(text, encoding="utf-8")
    assert json.loads(text) == json.loads(file.read_text(encoding="utf-8"))
