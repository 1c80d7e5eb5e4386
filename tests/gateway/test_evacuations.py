"""Running gateways while a data centre is evacuated."""

from __future__ import annotations

import time

import pytest
from twisted.internet import task

from banyansail.standins.store import StoreStandin
from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import LiveGateway
from tests.live import in_reactor
from tests.processes import wait_until

KIND = "evacuations"
FAR = ("d2", "e2")  # upstreams of the data centre that is evacuated
KNOWN_S = 2.0  # from the entry until no request is sent, well within 5 s


@pytest.fixture
def live():
    """Two gateways and two data centres."""
    with LiveGateway(routers=2) as live:
        for name in FAR:
            address = live.running_by_name[name].address
            live.announce(name, address, zone="leeds")
        for gateway in live.gateways:
            wait_until(lambda: is_placed(gateway))  # noqa: B023
        yield live


def is_placed(gateway):
    loads = [gateway.dispatcher.load_of(name) for name in FAR]
    return all(load.upstream.zone == "leeds" for load in loads)


def evacuate(live, zone="leeds"):
    in_reactor(lambda: live.store.state.put(KIND, zone, spec={}))
    wait_for_zones(live, {zone})


def wait_for_zones(live, zones):
    wait_until(
        lambda: all(
            gateway.dispatcher.evacuated_zones == zones for gateway in live.gateways
        ),
        KNOWN_S + 3,
    )


def end(live, zone="leeds"):
    in_reactor(lambda: live.store.state.delete(KIND, zone))


def arrivals(live, names=FAR):
    return sum(len(live.replica_by_name[name].state.arrivals) for name in names)


def call_all(live, count=20):
    for number in range(count):
        gateway = live.gateways[number % 2]
        assert live.call("GET", f"/stock/{number}", gateway=gateway)[0] == 200
        assert live.call("POST", f"/draft/{number}", b"x", gateway=gateway)[0] == 200


def test_nothing_is_sent_to_an_evacuated_data_centre_until_its_entry_is_removed(live):
    live.set_faults("d1", is_full=True)
    call_all(live, 2)
    assert arrivals(live)
    live.set_faults("d1", is_full=False)
    evacuate(live)
    before = arrivals(live)
    call_all(live)
    assert arrivals(live) == before
    end(live)
    wait_for_zones(live, set())
    live.set_faults("d1", is_full=True)
    call_all(live, 2)
    assert arrivals(live) > before


def test_retries_and_resumed_streams_do_not_go_to_an_evacuated_data_centre(live):
    evacuate(live)
    live.set_faults("e1", cuts_at_event=3)
    live.set_faults("d1", fails=True)
    assert live.call("GET", "/stock/1")[0] == 500
    live.try_call("POST", "/draft/resumable/1", b"x")
    assert live.replica_by_name["e1"].state.runs
    assert arrivals(live) == 0


def test_an_answer_in_progress_runs_to_its_end(live):
    """Guards against an evacuation that breaks off what it should let end."""
    evacuate(live, "glasgow")
    replica = live.replica_by_name["e2"]
    replica.state.events, replica.state.pause_s = 40, 0.05
    connection = live.connect()
    fields = {"Host": "shop.example", "Api-Key": "key-of-clerks", "X-Attempt-Id": "s"}
    connection.request("POST", "/draft/long", b"x", fields)
    response = connection.getresponse()
    start = response.read(20)
    in_reactor(lambda: live.store.state.put(KIND, "leeds", spec={}))
    wait_for_zones(live, {"glasgow", "leeds"})
    body = start + response.read()
    assert body.count(b"id: ") == 40


def test_requests_that_only_an_evacuated_data_centre_could_serve_are_rejected(live):
    evacuate(live)
    in_reactor(lambda: live.store.state.put(KIND, "glasgow", spec={}))
    wait_for_zones(live, {"glasgow", "leeds"})
    status, headers, _ = live.call("POST", "/orders/1", b"x")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert "a-orders-1" not in live.runs()


def test_a_router_whose_watch_is_silent_learns_an_evacuation_from_another(live):
    """Guards against a router that the store serves slowly, which would send on."""
    deaf = live.gateways[1]
    in_reactor(lambda: setattr(deaf.mirrors.evacuations, "_store", SilentStore(deaf)))
    in_reactor(deaf.store.cancel_watches)
    time.sleep(0.5)  # until the next watch
    evacuate(live)
    before = arrivals(live)
    call_all(live, 6)
    assert arrivals(live) == before
    end(live)
    wait_for_zones(live, set())


class SilentStore:
    """Store that does not answer watches in time."""

    def __init__(self, gateway):
        self._gateway = gateway

    async def watch(self, kind, revision):
        grace = self._gateway.settings.grace
        await task.deferLater(self._gateway.reactor, grace.total_seconds())
        return revision, []


def test_relayed_requests_do_not_go_to_an_evacuated_data_centre(live):
    evacuate(live)
    live.cut_off(next(iter(Cut)))
    for number in range(6):
        live.call("GET", f"/stock/cut{number}")
    assert live.gateway.context.reach.is_cut_off
    answered = [live.call("GET", f"/stock/relay{n}")[0] for n in range(6)]
    assert 200 in answered
    live.set_faults("d1", is_full=True)  # then the relaying router would try d2
    for number in range(6):
        live.call("GET", f"/stock/full{number}")
    assert arrivals(live) == 0


def test_metrics_count_evacuated_data_centres(live):
    evacuate(live)
    text = in_reactor(live.gateway.metrics_page.render).decode()
    assert "banyansail_evacuated_zones 1.0" in text
    assert 'banyansail_cold_upstreams{service="depot"} 0.0' in text


def test_a_restarted_router_takes_no_requests_before_it_knows_the_evacuations(live):
    """Guards against a router that sends where it has not heard that it may not."""
    gateway = live.gateway
    gateway.request_handler.awaits_evacuations = True
    status, headers, _ = live.call("GET", "/stock/early")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    assert not gateway.is_ready
    evacuate(live)
    assert gateway.is_ready
    assert live.call("GET", "/stock/late")[0] == 200


def test_no_call_is_made_for_evacuations_where_the_settings_name_none(monkeypatch):
    """Guards against calls to the store that a deployment pays for without need."""
    kinds = []
    read = StoreStandin._read

    def record(self, request, kind, name):
        kinds.append(kind)
        return read(self, request, kind, name)

    monkeypatch.setattr(StoreStandin, "_read", record)
    with LiveGateway(evacuate=None) as live:
        assert live.call("GET", "/stock/1")[0] == 200
    assert "servers" in kinds
    assert KIND not in kinds
    with LiveGateway():
        assert KIND in kinds
