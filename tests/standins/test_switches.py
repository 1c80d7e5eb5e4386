"""Fault switches of the stand-ins that no other test uses."""

from __future__ import annotations

import json

import pytest

from banyansail.standins.engine_state import EngineOptions, answer_text
from tests.live import LiveSite
from tests.processes import call, completion, wait_until

COMPLETIONS = "/v1/chat/completions"


@pytest.fixture
def site():
    with LiveSite() as live:
        for number in range(2):
            live.engine(f"e{number}", options=EngineOptions(token_s=0.01))
            live.service(f"s{number}")
        live.start()
        yield live


def send_completion(live: LiveSite, prompt: str = "q", tokens: int = 4):
    status, _, body = live.call("POST", COMPLETIONS, completion(prompt, tokens))
    return status, json.loads(body)


def platform_call(live: LiveSite, *arguments, **headers):
    return call(live.site.platform.address.port, *arguments, **headers)


def test_requests_to_a_hanging_engine_are_answered_by_another(site):
    site.faults("e0", hang=True)
    for number in range(4):
        status, answer = send_completion(site, f"q{number}")
        assert status == 200
        text = answer["choices"][0]["message"]["content"]
        assert text == answer_text(f"q{number}", 4)


def test_slow_engines_get_a_lower_concurrency_limit(site):
    router = site.site.router_by_name["r0"]
    for name in ("e0", "e1"):
        site.faults(name, slowdown=60.0)
    before = router.dispatcher.state_by_name["e0"].limit.value
    futures = [
        site.call_later("POST", COMPLETIONS, completion(f"slow {n}", 2))
        for n in range(12)
    ]
    assert {future.result()[0] for future in futures} == {200}
    states = router.dispatcher.state_by_name
    assert min(states[name].limit.value for name in ("e0", "e1")) < before


def test_only_lookups_are_retried_when_a_service_fails(site):
    site.faults("s0", fail=True)
    for _ in range(6):
        assert site.call("GET", "/depot-app/stock/abc")[0] == 200
    site.faults("s1", fail=True)
    status, _, _ = site.call("POST", "/depot-app/orders", {"n": 1}, idempotency_key="k")
    assert status == 500  # answer of the service, relayed without a retry
    total = site.state("s0").effects.get("k", 0) + site.state("s1").effects.get("k", 0)
    assert total == 1


def test_body_that_crashes_services_is_not_run_twice(site):
    for name in ("s0", "s1"):
        site.faults(name, crash_on="POISON")
    _, headers, _ = site.call(
        "POST", "/depot-app/orders", {"n": "POISON"}, idempotency_key="k"
    )
    assert headers["x-ran"] == "unknown"
    crashed = [
        n for n in ("s0", "s1") if site.site.upstream_by_name[n].standin.port is None
    ]
    assert len(crashed) == 1


def test_cancelled_request_stops(site):
    future = site.call_later("POST", COMPLETIONS, completion("long", 200))
    states = [site.state(name) for name in ("e0", "e1")]
    wait_until(lambda: any(state.progress for state in states))
    busy = next(state for state in states if state.progress)
    port = site.site.upstream_by_name[busy.options.name].standin.address.port
    attempt = next(iter(busy.progress))
    assert call(port, "DELETE", f"/requests/{attempt}")[0] == 200
    wait_until(lambda: busy.counters.get("cancelled") == 1)
    # The stream has no final event, so the router resumes it at another engine.
    wait_until(future.done)
    assert future.result()[0] == 200


def test_cache_events_follow_prompts(site):
    send_completion(site, "a prompt that is cached")
    ports = [
        site.site.upstream_by_name[name].standin.address.port for name in ("e0", "e1")
    ]
    events = [json.loads(call(port, "GET", "/cache-events")[2]) for port in ports]
    assert sum(map(len, events)) == 1


def test_instances_start_after_the_given_number_of_refusals(site):
    site.platform_faults(refuse_starts=1)
    instance = {"zone": "glasgow", "class": "reclaimable"}
    statuses = [
        platform_call(site, "POST", "/cloud/instances", instance)[0] for _ in range(2)
    ]
    assert statuses == [409, 201]


def test_rate_limit_answers_429_and_changes_nothing(site):
    site.platform_faults(writes_per_s=0.0)
    status, _, _ = platform_call(site, "PUT", "/objects/x", {"a": 1}, if_match="0")
    assert status == 429
    site.platform_faults(writes_per_s=400.0)
    assert platform_call(site, "GET", "/objects/x")[0] == 404


def test_oversized_object_is_refused(site):
    body = {"a": "x" * (1024**2 + 1)}
    status, _, _ = platform_call(site, "PUT", "/objects/x", body, if_match="0")
    assert status == 413
