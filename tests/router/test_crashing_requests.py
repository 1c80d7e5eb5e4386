"""Requests that crash every upstream that processes them."""

from __future__ import annotations

import json
from datetime import timedelta

import pytest

from banyansail.routing.quarantine import Quarantine
from banyansail.standins.engine_state import EngineOptions, answer_text
from tests.live import LiveSite, in_reactor
from tests.processes import completion, wait_until

COMPLETIONS = "/v1/chat/completions"
ENGINES = [f"e{number}" for number in range(6)]


@pytest.fixture
def site():
    with LiveSite() as live:
        for number, name in enumerate(ENGINES):
            zone = ("glasgow", "edinburgh", "aberdeen")[number % 3]
            live.engine(name, zone, EngineOptions(token_s=0.02))
        live.start("r0:glasgow", "r1:edinburgh", "r2:aberdeen")
        for name in ENGINES:
            live.faults(name, crash_on="POISON")
        yield live


def crashed_engines(live: LiveSite) -> list[str]:
    items = live.site.upstream_by_name.items()
    return [name for name, item in items if item.standin.port is None]


def answer_content(body: bytes) -> str:
    return json.loads(body)["choices"][0]["message"]["content"]


def test_resent_poison_kills_at_most_three_and_innocents_are_answered(site):
    healthy_answers = [
        site.call_later(
            "POST", COMPLETIONS, completion(f"good {n}", 60), router=f"r{n % 3}"
        )
        for n in range(24)
    ]
    for number in range(9):
        status, headers, body = site.call(
            "POST",
            COMPLETIONS,
            completion("POISON", 5),
            router=f"r{number % 3}",
        )
        assert status == 422, body
        assert headers["x-ran"] == "unknown" or number
    assert len(crashed_engines(site)) <= 3
    for number, future in enumerate(healthy_answers):
        status, _, body = future.result()
        assert status == 200, body
        assert answer_content(body) == answer_text(f"good {number}", 60)


def test_wave_of_deaths_in_a_zone_quarantines_nobody(site):
    answers = [
        site.call_later(
            "POST", COMPLETIONS, completion(f"good {n}", 80), router=f"r{n % 3}"
        )
        for n in range(24)
    ]
    wait_until(lambda: site.counter("requests") >= 24)
    for name in ("e0", "e3", "e1", "e4"):  # in two zones at once, without notice
        site.kill(name)
    for number, future in enumerate(answers):
        status, _, body = future.result()
        assert status == 200, body
        assert answer_content(body) == answer_text(f"good {number}", 80)
    for router in site.site.router_by_name.values():
        assert not in_reactor(
            lambda item=router: dict(item.quarantine._quarantine_end_by_fingerprint)
        )


def test_quarantine_reaches_routers_that_saw_no_crash(site):
    assert site.call("POST", COMPLETIONS, completion("POISON", 5))[0] == 422
    crashed_count = len(crashed_engines(site))
    wait_until(
        lambda: all(
            router.quarantine._quarantine_end_by_fingerprint
            for router in site.site.router_by_name.values()
        )
    )
    for router in ("r1", "r2"):
        status, _, _ = site.call(
            "POST", COMPLETIONS, completion("POISON", 5), router=router
        )
        assert status == 422
    assert len(crashed_engines(site)) == crashed_count


def test_a_request_quarantined_while_it_waits_is_not_sent(monkeypatch):
    with LiveSite() as live:
        live.engine("e0", "glasgow")
        live.start("r0:glasgow")
        router = live.site.router_by_name["r0"]
        state = router.dispatcher.state_by_name["e0"]
        in_reactor(setattr, state, "is_exclusive", True)  # has no slot for others
        waiting = live.call_later("POST", COMPLETIONS, completion("late", 5))
        wait_until(lambda: router.scheduler._waiter_by_ticket)
        monkeypatch.setattr(
            Quarantine, "quarantine_remaining", lambda *_: timedelta(seconds=60)
        )
        in_reactor(setattr, state, "is_exclusive", False)
        in_reactor(router.scheduler.assign_waiting)
        assert waiting.result()[0] == 422
        assert state.in_flight == 0
        assert live.counter("requests") == 0
