"""Requests that are open when the process of their router exits."""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest

from tests.live import RULES
from tests.processes import Programs, call, completion, wait_until
from tests.router.scripted_upstream import DONE, call_raw

COMPLETIONS = "/v1/chat/completions"
HANDOFF_TIME_S = 1.5
START_TIME_S = HANDOFF_TIME_S + 0.5
LONG = 20_000  # tokens, far more than are generated until the exit


@pytest.fixture
def site(tmp_path):
    with Programs(tmp_path) as programs:
        platform = programs.start_platform()
        engine = programs.start_engine("e0")
        line = f"upstream e0 service=advisor-llm version=v1 address=127.0.0.1:{engine}"
        rules = [*RULES, f"{line} zone=glasgow  # operator: test"]
        programs.apply_rules(platform, "\n".join(rules) + "\n")
        port = programs.start_router("r0", platform, stop_notice="3s")[0]
        wait_until(lambda: call(port, "GET", "/health")[0] == 200)
        yield SimpleNamespace(programs=programs, engine=engine, port=lambda _: port)


def ask(site: SimpleNamespace, version: str, stream: bool):
    body = completion("long", LONG, stream=stream)
    return call_raw(site, "POST", COMPLETIONS, body, version)


@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_no_open_request_ends_in_order_when_the_process_exits(site, version):
    with ThreadPoolExecutor(2) as executor:
        wanted_object = executor.submit(ask, site, version, stream=False)
        wait_until(lambda: call(site.engine, "GET", "/counters")[2] != b"{}")
        site.programs.signal("r0", signal.SIGTERM)
        time.sleep(START_TIME_S)
        wanted_stream = executor.submit(ask, site, version, stream=True)
        received = wanted_stream.result()
        assert received.body.count(b"id: ") > 0
        assert DONE not in received.body
        assert received.has_error_event or not received.is_complete
        assert wanted_object.result().status == 503
    assert site.programs.process_by_name["r0"].wait(30) == 0
