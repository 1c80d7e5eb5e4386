"""Tests of traffic moves with live routers and a faulty platform."""

from __future__ import annotations

import itertools
import json
import threading
from datetime import UTC, datetime, timedelta

import pytest

from banyansail.fleet.entries import LAST_STEP, Digest, Entry, Gossip, Topic
from banyansail.rollout.status import MoveState, decode_status
from banyansail.standins.engine_state import EngineOptions
from tests.live import LiveSite, in_reactor
from tests.processes import completion, wait_until

COMPLETIONS = "/v1/chat/completions"


def move_rule(seconds: float, first: str = "5%") -> str:
    start = datetime.now(UTC)
    deadline = start + timedelta(seconds=seconds)
    return (
        f"rollout advisor-llm from=v1 to=v2 start={start.isoformat()} "
        f"deadline={deadline.isoformat()} first={first}  # ewan: new model"
    )


@pytest.fixture
def site():
    with LiveSite() as live:
        for number in range(4):
            version = "v1" if number < 2 else "v2"
            options = EngineOptions(version=version, token_s=0.002, slots=16)
            live.engine(f"e{number}", "glasgow", options)
        live.start("r0:glasgow", "r1:glasgow", "r2:edinburgh")
        yield live


class Traffic:
    """Callers that send requests until they are stopped."""

    def __init__(
        self,
        live: LiveSite,
        threads: int = 6,
        routers: tuple[str, ...] = ("r0", "r1", "r2"),
    ) -> None:
        self._live = live
        self._routers = routers
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(n,))
            for n in range(threads)
        ]
        self.statuses: list[int] = []

    def __enter__(self) -> Traffic:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_requests(self, number: int) -> None:
        count = 0
        while not self._stop.is_set():
            count += 1
            status, _, _ = self._live.call(
                "POST",
                COMPLETIONS,
                completion(f"{number}/{count}", 2),
                router=self._routers[count % len(self._routers)],
            )
            self.statuses.append(status)


def stored_status(live: LiveSite):
    stored = live.site.platform_state.object_by_key.get("rollout/advisor-llm")
    return decode_status(stored.body) if stored else None


def shares(live: LiveSite) -> set[float | None]:
    return {share_of(router) for router in live.site.router_by_name.values()}


def requests_to(live: LiveSite, *names: str) -> int:
    # An engine that got no request has no counter of requests.
    return sum(live.state(name).counters.get("requests", 0) for name in names)


def test_good_version_is_done_once_all_routers_have_moved(site):
    site.apply(move_rule(10))
    with Traffic(site) as traffic:
        wait_until(
            lambda: stored_status(site) and stored_status(site).state is MoveState.DONE,
            30,
        )
        assert shares(site) == {1.0}
    assert set(traffic.statuses) == {200}
    assert site.state("e2").counters["requests"] > 0


def test_bad_version_is_taken_back_and_costs_no_answer(site):
    for name in ("e2", "e3"):
        site.faults(name, fail=True)
    site.platform_faults(lose_answers=2)  # including those to writes of the verdict
    site.apply(move_rule(60))
    with Traffic(site) as traffic:
        wait_until(
            lambda: stored_status(site)
            and stored_status(site).state is MoveState.REVERTED,
            30,
        )
        wait_until(lambda: shares(site) == {0.0})
        before = requests_to(site, "e2", "e3")
        wait_until(lambda: len(traffic.statuses) > 300, 30)
        after = requests_to(site, "e2", "e3")
    assert after == before > 0
    assert set(traffic.statuses) == {200}
    assert "failed" in stored_status(site).reason


def test_unreadable_statuses_of_a_router_prevent_no_verdict(site):
    heartbeats = itertools.count(1)

    def is_reverted() -> bool:
        send_unreadable_status(site, next(heartbeats))
        return stored_status(site) and stored_status(site).state is MoveState.REVERTED

    send_unreadable_status(site, next(heartbeats))
    for name in ("e2", "e3"):
        site.faults(name, fail=True)
    site.apply(move_rule(60))
    with Traffic(site):
        wait_until(is_reverted, 30)


def send_unreadable_status(live: LiveSite, heartbeat: int) -> None:
    """Gossip a live router whose published statuses can't be decoded."""
    digest = Digest("ghost", 1, heartbeat, timedelta(0), ())
    entry = Entry("ghost", 1, Topic.STATEMENTS, 1, b"\xff not a struct")
    gossip = Gossip("ghost", "glasgow", (entry,), (digest,), LAST_STEP)
    for router in live.site.router_by_name.values():
        in_reactor(router.gossiper.receive, gossip, router.settings.peer)


def test_move_taken_back_by_an_operator_stays_so_despite_good_evidence(site):
    site.apply(move_rule(60))
    with Traffic(site, threads=2):
        wait_until(lambda: shares(site) == {0.05})
        port = site.site.platform.address.port
        from tests.processes import Programs

        programs = Programs.__new__(Programs)
        done = Programs.run_cli(
            programs,
            "rollout",
            "take-back",
            "advisor-llm",
            f"--platform=127.0.0.1:{port}",
            "--by=isla",
            "--why=wrong model",
        )
        assert done.returncode == 0, done.stderr
        wait_until(lambda: shares(site) == {0.0})
    assert stored_status(site).writer == "isla"
    status = Programs.run_cli(
        programs, "rollout", "status", f"--platform=127.0.0.1:{port}", "--json"
    )
    assert json.loads(status.stdout)[0]["state"] == "taken_back"


def test_unreachable_router_is_named_and_the_move_is_not_done(site):
    router = site.site.router_by_name["r2"]
    in_reactor(router.stopService)  # stops without draining
    site.apply(move_rule(5))
    with Traffic(site, threads=2, routers=("r0", "r1")) as traffic:
        wait_until(
            lambda: stored_status(site) and "r2" in stored_status(site).reason, 30
        )
        answered_count = len(traffic.statuses)
        wait_until(lambda: len(traffic.statuses) > answered_count + 300, 30)
    assert stored_status(site).state is MoveState.MOVING


def test_platform_outage_stops_no_verdict_at_the_routers(site):
    site.apply(move_rule(60, first="20%"))
    wait_until(lambda: shares(site) == {0.2})
    site.platform_faults(outage=True)
    for name in ("e2", "e3"):
        site.faults(name, fail=True)
    with Traffic(site) as traffic:
        wait_until(lambda: shares(site) == {0.0}, 30)
        site.platform_faults(outage=False)
        wait_until(
            lambda: stored_status(site)
            and stored_status(site).state is MoveState.REVERTED,
            30,
        )
    assert set(traffic.statuses) == {200}


def test_crash_of_a_new_upstream_counts_once_and_reverts_nothing(site):
    for name in ("e2", "e3"):
        site.faults(name, slowdown=40.0)
    for name in ("e0", "e1"):
        site.faults(name, slowdown=40.0)
    site.apply(move_rule(60, first="50%"))
    wait_until(lambda: shares(site) == {0.5})
    answers = [
        site.call_later(
            "POST", COMPLETIONS, completion(f"x{n}", 20), router=f"r{n % 3}"
        )
        for n in range(40)
    ]
    wait_until(lambda: len(site.state("e2").progress) >= 5)
    site.kill("e2")
    assert {answer.result()[0] for answer in answers} == {200}
    assert failures_of_new_version(site) <= 3  # one per router
    assert stored_status(site).state is MoveState.MOVING


def test_calls_that_cannot_reach_a_crashed_upstream_count_as_one_crash(site):
    """The calls arrive before the router detects the crash; none of them connects."""
    site.apply(move_rule(60, first="50%"))
    wait_until(lambda: shares(site) == {0.5})

    def kill_both() -> None:
        for name in ("e2", "e3"):
            site.site.upstream_by_name[name].standin.kill()

    in_reactor(kill_both)
    answers = [
        site.call_later("POST", COMPLETIONS, completion(f"x{n}", 2)) for n in range(40)
    ]
    assert {answer.result()[0] for answer in answers} == {200}
    assert failures_of_new_version(site) <= 2  # one per upstream
    wait_until(lambda: stored_status(site) is not None)
    assert stored_status(site).state is MoveState.MOVING


def failures_of_new_version(live: LiveSite) -> int:
    return sum(
        cell.failed
        for router in live.site.router_by_name.values()
        for key, cell in router.evidence.cell_by_key.items()
        if key.version == "v2"
    )


def test_failed_orders_count_against_a_version(site):
    """A 500 of a call that is not repeatable is passed on and counts as a failure."""
    for number, version in enumerate(("v1", "v2")):
        site.service(f"s{number}", "glasgow", version=version)
    site.faults("s1", fail=True)
    rule = move_rule(60, first="50%").replace("advisor-llm", "depot-app")
    site.apply(rule.replace("first=50%", "first=50% unproven-calls=yes"))
    status_key = "rollout/depot-app"
    objects = site.site.platform_state.object_by_key

    def is_reverted() -> bool:
        site.call("POST", "/depot-app/orders", {"n": 1}, idempotency_key=new_key())
        stored = objects.get(status_key)
        return stored is not None and stored.body["state"] == "taken_back"

    count = 0

    def new_key() -> str:
        nonlocal count
        count += 1
        return f"k{count}"

    wait_until(is_reverted)
    effects = site.effects()
    assert max(effects.values()) == 1


def test_retry_of_a_fixed_version_ignores_the_evidence_of_the_first_move(site):
    for name in ("e2", "e3"):
        site.faults(name, fail=True)
    site.apply(move_rule(60, first="20%"))
    with Traffic(site, threads=3):
        wait_until(
            lambda: stored_status(site)
            and stored_status(site).state is MoveState.REVERTED,
            30,
        )
        for name in ("e2", "e3"):
            site.faults(name, fail=False)
        site.apply(move_rule(12, first="20%"))
        wait_until(lambda: stored_status(site).state is MoveState.DONE, 40)


def test_router_cut_off_during_a_move_holds_its_share_and_is_named(site):
    """Its share is not raised, and the move is done only after it reconnects."""
    site.apply(move_rule(30))
    isolated = site.site.router_by_name["r2"]
    with Traffic(site):
        wait_until(lambda: share_of(isolated) == 0.05)
        in_reactor(cut_off, isolated)
        wait_until(lambda: len(in_reactor(isolated.gossiper.live_members)) == 1, 60)
        share = share_of(isolated)
        assert share < 1.0
        wait_until(
            lambda: stored_status(site) and "moved: r2" in stored_status(site).reason,
            60,
        )
        assert share_of(isolated) == share
        assert stored_status(site).state is MoveState.MOVING
        in_reactor(reconnect, isolated)
        wait_until(lambda: stored_status(site).state is MoveState.DONE, 60)
        wait_until(lambda: shares(site) == {1.0})


def share_of(router) -> float | None:
    version_shares = router.dispatcher.dispatch_by_service["advisor-llm"].shares
    return version_shares.new_share if version_shares else None


def cut_off(router) -> None:
    """Drop all gossip to and from a router."""
    router.gossip.datagramReceived = lambda datagram, addr: None
    router.gossip.send = lambda outgoing: None


def reconnect(router) -> None:
    del router.gossip.datagramReceived
    del router.gossip.send
