"""Running gateways whose upstreams end when they have to reject a few requests."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from tests.gateway.live_gateway import LiveGateway

ROUTERS = 4
REPLICAS = ("d1", "d2", "d3")
BORNE = 2  # rejections in a second
CALLERS = 48  # at the same time, on 12 slots
ROUNDS = 6


def test_brittle_upstreams_do_not_fall_over_in_a_burst():
    with (
        LiveGateway(replicas=REPLICAS, routers=ROUTERS) as live,
        ThreadPoolExecutor(CALLERS) as callers,
    ):
        live.set_faults("d", brittle=str(BORNE))
        for replica in live.replica_by_name.values():
            replica.state.pause_s = 0.1
        for number, gateway in enumerate(live.gateways):
            live.call("GET", f"/stock/told{number}", gateway=gateway)
        served = 0
        for _ in range(ROUNDS):
            calls = [
                callers.submit(
                    live.try_call,
                    "GET",
                    f"/stock/{number}",
                    gateway=live.gateways[number % ROUTERS],
                )
                for number in range(CALLERS)
            ]
            answers = [call.result() for call in calls]
            served += sum(1 for answer in answers if answer and answer[0] == 200)
        fallen = [name for name in REPLICAS if live.running_by_name[name].port is None]
        assert fallen == []
        assert served >= ROUNDS * CALLERS / 2
