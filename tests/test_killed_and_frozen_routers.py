"""Routers that run as processes and are killed, frozen or stopped."""

from __future__ import annotations

import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from datetime import UTC, datetime, timedelta

import pytest

from banyansail.standins.engine_state import answer_text
from tests.processes import Programs, call, completion, wait_for_http, wait_until
from tests.router.test_streams_under_failure import stream_text

COMPLETIONS = "/v1/chat/completions"
ORDERS = "/depot-app/orders"


class Site:
    """A platform, an engine, a service and two routers of one zone."""

    def __init__(self, programs: Programs, stop_notice: str = "20s") -> None:
        self.programs = programs
        self.platform = programs.start_platform()
        self.engine = programs.start_engine("e1", "--token-ms=20")
        self.service = programs.start_service("s1")
        programs.wait_for_start("e1", self.engine, "/health")
        programs.wait_for_start("s1", self.service, "/health")
        programs.apply_rules(self.platform, self.rules())
        r0 = programs.start_router("r0", self.platform, stop_notice=stop_notice)
        r1 = programs.start_router("r1", self.platform, peers=[r0[1]])
        self.seed = r0[1]
        self.ports = {"r0": r0[0], "r1": r1[0]}
        self.admin = {"r0": r0[2], "r1": r1[2]}
        for port in self.admin.values():
            wait_until(lambda port=port: self.live_member_count(port) == 2)

    def rules(self) -> str:
        upstream = "class=reclaimable price=1  # isla: today's machines"
        return (
            "service advisor-llm kind=model  # isla: counter\n"
            "service depot-app kind=plain  # isla: depots\n"
            "route advisor-llm POST /v1/chat/completions repeat=yes  # isla: answers\n"
            "route depot-app POST /orders repeat=no deadline=6s  # isla: once\n"
            "upstream e1 service=advisor-llm version=v1 zone=glasgow "
            f"address=127.0.0.1:{self.engine} {upstream}\n"
            "upstream s1 service=depot-app version=v1 zone=glasgow "
            f"address=127.0.0.1:{self.service} {upstream}\n"
        )

    def start_move(self, engine: int, deadline: datetime) -> None:
        """Move traffic from the first engine to a second one."""
        start = datetime.now(UTC).isoformat()
        self.programs.apply_rules(
            self.platform,
            self.rules()
            + "upstream e2 service=advisor-llm version=v2 zone=glasgow "
            + f"address=127.0.0.1:{engine}  # isla: new\n"
            + f"rollout advisor-llm from=v1 to=v2 start={start} "
            + f"deadline={deadline.isoformat()} first=5%  # ewan: new model\n",
        )

    def live_member_count(self, admin: int) -> int:
        status = json.loads(call(admin, "GET", "/status")[2])
        return sum(item["live"] for item in status["members"])

    def set_faults(self, port: int, **switches: object) -> None:
        call(port, "POST", "/faults", switches)

    def effects(self) -> dict[str, int]:
        return json.loads(call(self.service, "GET", "/effects")[2])

    def send_order(self, router: str, key: str = "k"):
        return call(
            self.ports[router], "POST", ORDERS, {"sku": key}, idempotency_key=key
        )

    def send_order_in_background(self, router: str) -> threading.Thread:
        def send() -> None:
            try:
                self.send_order(router)
            except OSError:
                pass  # the router is killed on purpose

        thread = threading.Thread(target=send, daemon=True)
        thread.start()
        return thread


@pytest.fixture
def site(tmp_path):
    with Programs(tmp_path) as programs:
        yield Site(programs)


def check_resend(site: Site) -> None:
    """Resend the key through the other router and check the answer.

    The order must have run at most once, and x-ran must be true.
    """
    status, headers, _ = site.send_order("r1")
    effects = site.effects().get("k", 0)
    if status == 200:
        assert effects == 1
    elif headers["x-ran"] == "not_run":
        assert effects == 0
    else:
        assert headers["x-ran"] == "unknown"
    assert site.effects().get("k", 0) <= 1


def test_killed_while_the_record_is_written(site):
    site.set_faults(site.platform, delay_s=1.0)
    site.send_order_in_background("r0")
    time.sleep(0.4)
    site.programs.kill("r0")
    site.set_faults(site.platform, delay_s=0.0)
    check_resend(site)


def test_killed_after_the_record_before_the_call_is_sent(site):
    site.programs.kill("s1")
    site.send_order_in_background("r0")
    time.sleep(0.8)
    site.programs.kill("r0")
    site.programs.start(
        "s1-again",
        "banyansail.standins",
        "service",
        f"--listen=127.0.0.1:{site.service}",
    )
    wait_for_http(site.service, "/health")
    check_resend(site)
    assert site.effects() == {}


def test_killed_after_the_call_was_sent(site):
    site.set_faults(site.service, delay_s=2.0)
    site.send_order_in_background("r0")
    wait_until(lambda: site.effects() == {"k": 1})
    site.programs.kill("r0")
    check_resend(site)
    assert site.effects() == {"k": 1}


def test_frozen_before_the_answer_and_back_after_a_resend(site):
    site.set_faults(site.service, delay_s=1.0)
    thread = site.send_order_in_background("r0")
    wait_until(lambda: site.effects() == {"k": 1})
    site.programs.signal("r0", signal.SIGSTOP)
    check_resend(site)
    site.programs.signal("r0", signal.SIGCONT)
    thread.join(15)
    check_resend(site)
    assert site.effects() == {"k": 1}


def test_frozen_while_the_record_is_written_and_back_after_a_resend(site):
    site.set_faults(site.platform, delay_s=1.0)
    thread = site.send_order_in_background("r0")
    time.sleep(0.3)
    site.programs.signal("r0", signal.SIGSTOP)
    time.sleep(1.5)
    site.set_faults(site.platform, delay_s=0.0)
    check_resend(site)
    time.sleep(11)  # longer than a router counts as live without a heartbeat
    site.programs.signal("r0", signal.SIGCONT)
    thread.join(15)
    check_resend(site)
    assert site.effects().get("k", 0) <= 1


def test_graceful_stop_cuts_off_no_request(site):
    bodies = [completion(f"draft {n}", 100, stream=True) for n in range(8)]
    with ThreadPoolExecutor(8) as pool:
        answers = [
            pool.submit(call, site.ports["r0"], "POST", COMPLETIONS, body)
            for body in bodies
        ]
        time.sleep(0.5)
        site.programs.signal("r0", signal.SIGTERM)
        wait_until(
            lambda: call(site.ports["r0"], "GET", "/health", timeout=2)[0] == 503
        )
        late = pool.submit(
            call, site.ports["r0"], "POST", COMPLETIONS, completion("late", 5)
        )
        for number, answer in enumerate(answers):
            status, _, data = answer.result()
            assert status == 200
            assert stream_text(data) == answer_text(f"draft {number}", 100)
        assert late.result()[0] == 200
    assert site.programs.process_by_name["r0"].wait(30) == 0


def test_stream_longer_than_the_notice_continues_at_a_peer(tmp_path):
    with Programs(tmp_path) as programs:
        site = Site(programs, stop_notice="4s")
        body = completion("long", 500, stream=True)
        received = read_until_cut(site, body)
        assert programs.process_by_name["r0"].wait(30) == 0
        request_id = received["request_id"]
        last_event = received["last_event"]
        status, headers, data = call(
            site.ports["r1"],
            "GET",
            f"/v1/streams/{request_id}",
            last_event_id=str(last_event),
        )
        assert (status, headers["x-request-id"]) == (200, request_id)
        remaining = [event for event in data.decode().split("\n\n") if event][:-1]
        ids = [int(event.split("\n")[0][4:]) for event in remaining]
        assert ids == list(range(last_event + 1, 500))
        chunks = [json.loads(event.split("data: ")[1]) for event in remaining]
        text = "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
        assert received["text"] + text == answer_text("long", 500)


def read_until_cut(site: Site, body: dict[str, object]) -> dict[str, object]:
    """Read a stream through r0, which is stopped during it, until it is cut off."""
    import http.client

    connection = http.client.HTTPConnection("127.0.0.1", site.ports["r0"], timeout=30)
    connection.request("POST", COMPLETIONS, json.dumps(body))
    response = connection.getresponse()
    data = response.read1(100)
    site.programs.signal("r0", signal.SIGTERM)
    try:
        while piece := response.read1(65536):
            data += piece
    except http.client.HTTPException:
        pass
    events = data.decode().split("\n\n")[:-1]
    chunks = [json.loads(event.split("data: ")[1]) for event in events]
    return {
        "request_id": response.getheader("x-request-id"),
        "last_event": int(events[-1].split("\n")[0][4:]),
        "text": "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks),
    }


def test_frozen_router_delays_done_and_changes_nothing_when_it_wakes(site):
    """Checks that a move is not done while a router is frozen, and stays done.

    A frozen router can't report that it has moved. Once it resumes, it must not change
    the final status. Either of the two routers may have the duty of the move.
    """
    deadline = datetime.now(UTC) + timedelta(seconds=8)
    second = site.programs.start_engine("e2", "--version-name=v2", "--token-ms=2")
    wait_for_http(second, "/health")
    site.start_move(second, deadline)

    def fetch_status() -> tuple[str, str]:
        done = site.programs.run_cli(
            "rollout", "status", f"--platform=127.0.0.1:{site.platform}", "--json"
        )
        move = json.loads(done.stdout)[0]
        return move["state"], move["reason"]

    def send_completion(router: str) -> None:
        port = site.ports[router]
        assert call(port, "POST", COMPLETIONS, completion("x", 2))[0] == 200

    for _ in range(20):
        send_completion("r0")
        send_completion("r1")
    site.programs.signal("r1", signal.SIGSTOP)

    def is_r1_reported() -> bool:
        send_completion("r0")
        state, reason = fetch_status()
        return state == "moving" and "not heard to have moved: r1" in reason

    wait_until(is_r1_reported, 60)
    site.programs.signal("r1", signal.SIGCONT)

    def is_done() -> bool:
        send_completion("r0")
        return fetch_status()[0] == "done"

    wait_until(is_done, 60)
    final = fetch_status()
    time.sleep(3)
    assert fetch_status() == final


def test_frozen_placement_holder_wakes_and_leaves_nothing_wrong(site):
    """Checks that a resumed lease holder does not apply a plan of old rules.

    The holder is frozen in the middle of a plan; the rules change before it resumes.
    """
    offers = [
        {"zone": zone, "class": kind, "price": price, "reclaims_per_hour": 0.1}
        for zone, kind, price in (
            ("glasgow", "reclaimable", 0.3),
            ("edinburgh", "reclaimable", 0.4),
            ("aberdeen", "reclaimable", 0.5),
            ("glasgow", "on-demand", 2.0),
        )
    ]
    call(site.platform, "PUT", "/cloud/offers", offers)
    rule = "placement advisor-llm replicas={} floor=1 zone-share=50%  # ewan: cost\n"
    site.programs.apply_rules(site.platform, site.rules() + rule.format(4))
    wait_until(lambda: len(active_instances(site)) == 4)
    holder = lease_holder(site)
    site.set_faults(site.platform, delay_s=0.5)
    time.sleep(0.7)
    site.programs.signal(holder, signal.SIGSTOP)
    site.set_faults(site.platform, delay_s=0.0)
    site.programs.apply_rules(site.platform, site.rules() + rule.format(2))
    wait_until(lambda: lease_holder(site) not in ("", holder), 60)
    wait_until(lambda: len(active_instances(site)) == 2, 60)
    expected = active_instances(site)
    site.programs.signal(holder, signal.SIGCONT)
    wait_until(lambda: site.live_member_count(site.admin[holder]) == 2)
    # It gets the duty back, with a new lease.
    wait_until(lambda: lease_holder(site) == holder, 60)
    check_count = 0
    while check_count < 20:
        assert active_instances(site) == expected
        check_count += 1
        time.sleep(0.25)


def active_instances(site: Site) -> set[str]:
    all_instances = json.loads(call(site.platform, "GET", "/cloud/instances")[2])
    return {item["id"] for item in all_instances if item.get("state") != "leaving"}


def lease_holder(site: Site) -> str:
    """Return the name of the router that holds the placement lease."""
    stored = call(site.platform, "GET", "/objects/lease/placement/advisor-llm")
    body = json.loads(stored[2]) if stored[0] == 200 else {}
    return str(body.get("holder", "")).partition(".")[0]
