from __future__ import annotations

from random import Random

from banyansail.config.fields import Address
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.view import FleetView
from banyansail.gateway.fleet_link import ROUTERS_KIND, FleetLink
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore


class _Settings:
    name = "front-1"
    zone = "glasgow"
    region = "scotland"
    shared_key = "0123456789abcdef"
    peer = Address("10.0.0.1", 7600)
    seeds = ("10.9.9.9",)


def link() -> FleetLink:
    return FleetLink(_Settings(), None, FakeClock(), Random(1), print, None)


def targets_of(fleet):
    return {
        outgoing.address for _ in range(40) for outgoing in fleet._gossiper.exchange()
    }


def test_routers_that_the_store_names_are_asked_though_the_seeds_are_stale():
    store = FakeStore()
    other = Address("10.0.0.2", 7600)
    run_now(store.create(ROUTERS_KIND, "front-2", {"peer": str(other), "zone": "x"}))
    fleet = link()
    assert targets_of(fleet) == {Address("10.9.9.9", 7600)}
    run_now(fleet.join(store))
    assert other in targets_of(fleet)
    assert (ROUTERS_KIND, "front-1") in store.object_by_key


def test_a_router_that_came_back_at_another_address_says_so():
    store = FakeStore()
    run_now(store.create(ROUTERS_KIND, "front-1", {"peer": "10.0.0.7:1", "zone": "x"}))
    run_now(link().join(store))
    spec = store.object_by_key[ROUTERS_KIND, "front-1"].spec
    assert spec["peer"] == "10.0.0.1:7600"


def test_a_router_joins_once():
    store = FakeStore()
    fleet = link()
    run_now(fleet.join(store))
    calls = store.calls
    run_now(fleet.join(store))
    assert store.calls == calls


def test_its_own_address_is_no_seed():
    own = Address("10.0.0.1", 7600)
    view = FleetView("front-1", 1, FakeClock())
    gossiper = Gossiper(view, "glasgow", own, [own], Random(1))
    gossiper.add_seeds([own])
    assert gossiper.exchange() == []
