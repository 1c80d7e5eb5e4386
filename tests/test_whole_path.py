"""End-to-end requests with all programs as separate processes and three routers."""

from __future__ import annotations

import json

import pytest

from banyansail.standins.engine_state import answer_text
from tests.processes import Programs, call, completion, wait_for_http, wait_until

ZONES = ("glasgow", "edinburgh", "aberdeen")


def rules_for(engines: dict[str, int], services: dict[str, int]) -> str:
    lines = [
        "service advisor-llm kind=model latency=330ms  # isla: counter answers",
        "service depot-app kind=plain latency=200ms  # isla: stock and orders",
        "route advisor-llm POST /v1/chat/completions repeat=yes  # isla: answers",
        "route depot-app GET /stock/* repeat=yes deadline=5s  # isla: lookups",
        "route depot-app POST /orders repeat=no deadline=5s  # isla: never doubled",
    ]
    for service, ports in (("advisor-llm", engines), ("depot-app", services)):
        for number, (name, port) in enumerate(ports.items()):
            zone = ZONES[number % 3]
            lines.append(
                f"upstream {name} service={service} version=v1 "
                f"address=127.0.0.1:{port} zone={zone}  # isla: today's machines"
            )
    return "\n".join(lines) + "\n"


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    """Start a platform, three engines, two services and three routers."""
    with Programs(tmp_path_factory.mktemp("site")) as programs:
        platform = programs.start_platform()
        engines = {name: programs.start_engine(name) for name in ("e1", "e2", "e3")}
        services = {name: programs.start_service(name) for name in ("s1", "s2")}
        programs.apply_rules(platform, rules_for(engines, services))
        for port in (*engines.values(), *services.values()):
            wait_for_http(port, "/health")
        ports: list[tuple[int, int, int]] = []
        for number, zone in enumerate(ZONES):
            seeds = [peer for _, peer, _ in ports]
            ports.append(
                programs.start_router(
                    f"r{number}", platform, zone=zone, peers=seeds, wait=False
                )
            )
        for listen, _, _ in ports:
            wait_for_http(listen, "/health")
        yield programs, [listen for listen, _, _ in ports], platform, services


def test_completion_is_complete(site):
    for port in site[1]:
        status, headers, body = call(
            port, "POST", "/v1/chat/completions", completion("clippers please")
        )
        assert status == 200, body
        answer = json.loads(body)
        text = answer["choices"][0]["message"]["content"]
        assert text == answer_text("clippers please", 8)
        assert answer["id"] == headers["x-request-id"]


def test_stream_is_complete(site):
    body = completion("blades", 5, stream=True)
    status, headers, data = call(site[1][0], "POST", "/v1/chat/completions", body)
    assert status == 200
    assert headers["content-type"] == "text/event-stream"
    events = data.decode().split("\n\n")
    assert events[-2] == "data: [DONE]"
    chunks = [json.loads(event.split("data: ")[1]) for event in events[:-2]]
    text = "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
    assert text == answer_text("blades", 5)
    assert {chunk["id"] for chunk in chunks} == {headers["x-request-id"]}


def test_lookup_and_order(site):
    _, ports, _, services = site
    status, _, body = call(ports[0], "GET", "/depot-app/stock/clip9")
    assert (status, json.loads(body)["stock"]) == (200, 5)
    answers = {
        call(port, "POST", "/depot-app/orders", {"sku": 1}, idempotency_key="k1")[2]
        for port in ports
    }
    assert len(answers) == 1
    effects = [
        json.loads(call(port, "GET", "/effects")[2]).get("k1", 0)
        for port in services.values()
    ]
    assert sum(effects) == 1


def test_refusals_are_json(site):
    port = site[1][0]
    status, headers, body = call(port, "GET", "/no-such/x")
    error = json.loads(body)["error"]
    assert (status, error["code"], error["ran"]) == (404, "unknown_service", "not_run")
    assert error["request_id"] == headers["x-request-id"]


def test_explain_reads_the_log(site):
    programs, ports, _, _ = site
    _, headers, _ = call(ports[1], "GET", "/depot-app/stock/a")
    request = headers["x-request-id"]
    log = programs.folder / "r1.log"
    wait_until(lambda: request in log.read_text())
    done = programs.run_cli("explain", request, f"--log={log}")
    assert done.returncode == 0
    assert "route least_loaded" in done.stdout or "route spilled" in done.stdout


def test_operator_commands(site):
    programs, _, platform, _ = site
    address = f"--platform=127.0.0.1:{platform}"
    shown = programs.run_cli("rules", "show", address)
    assert "# isla: never doubled" in shown.stdout
    history = programs.run_cli("rules", "history", address)
    assert "test" in history.stdout
