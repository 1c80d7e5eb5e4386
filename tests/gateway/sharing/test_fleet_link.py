from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

from banyansail.config.fields import Address
from banyansail.fleet.entries import Member
from banyansail.fleet.gossiper import Gossiper
from banyansail.fleet.view import FleetView
from banyansail.gateway.sharing.fleet_link import ROUTERS_KIND, FleetLink
from banyansail.wire.call_types import NotSupported, ReachIncarnation
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore


class _Settings:
    name = "front-1"
    zone = "glasgow"
    region = "scotland"
    shared_key = "0123456789abcdef"
    peer = Address("10.0.0.1", 7600)
    seeds = ("10.9.9.9",)
    retry_window = timedelta(seconds=10)


def fleet_link(clock: FakeClock | None = None) -> FleetLink:
    return FleetLink(_Settings(), None, clock or FakeClock(), Random(1), print, None)


def router_entry(**fields):
    return {"peer": "10.0.0.2:7600", "zone": "x", **fields}


def put_routers(store, names, **fields):
    for name in names:
        run_now(store.create(ROUTERS_KIND, name, router_entry(**fields)))


def read_list(fleet, store):
    _, stored = run_now(store.list(ROUTERS_KIND))
    fleet.apply_registered({item.name: item for item in stored})
    fleet.update_sharers(timedelta(0))


def register(fleet, store):
    """Let a router read the list of routers, and write its entry if it has to."""
    read_list(fleet, store)
    run_now(fleet.register(store))
    read_list(fleet, store)


def own_entry(store):
    return store.object_by_key[ROUTERS_KIND, "front-1"].spec


def run_for(fleet, store, clock, seconds):
    for _ in range(seconds):
        clock.advance(1)
        register(fleet, store)


def digest_targets(fleet):
    return {
        outgoing.address for _ in range(40) for outgoing in fleet._gossiper.exchange()
    }


def test_digests_reach_routers_from_the_store_when_the_seeds_are_stale():
    store = FakeStore()
    other = Address("10.0.0.2", 7600)
    run_now(store.create(ROUTERS_KIND, "front-2", {"peer": str(other), "zone": "x"}))
    fleet = fleet_link()
    assert digest_targets(fleet) == {Address("10.9.9.9", 7600)}
    register(fleet, store)
    assert other in digest_targets(fleet)
    assert (ROUTERS_KIND, "front-1") in store.object_by_key


def test_a_router_restarted_at_another_address_updates_its_store_entry():
    store = FakeStore()
    run_now(store.create(ROUTERS_KIND, "front-1", {"peer": "10.0.0.7:1", "zone": "x"}))
    register(fleet_link(), store)
    spec = store.object_by_key[ROUTERS_KIND, "front-1"].spec
    assert spec["peer"] == "10.0.0.1:7600"


def test_a_router_registers_once():
    store = FakeStore()
    fleet = fleet_link()
    for _ in range(2):
        register(fleet, store)
    calls = store.calls
    run_now(fleet.register(store))
    assert store.calls == calls
    assert store.object_by_key[ROUTERS_KIND, "front-1"].revision.number == 1


def test_the_own_address_is_not_a_seed():
    own = Address("10.0.0.1", 7600)
    view = FleetView("front-1", 1, FakeClock())
    gossiper = Gossiper(view, "glasgow", own, [own], Random(1))
    gossiper.add_seeds([own])
    assert gossiper.exchange() == []


def test_a_call_that_a_router_does_not_understand_is_not_sent():
    """An older build closes the connection that brings such a call."""
    since = datetime.fromtimestamp(0, UTC)
    older = Member("z", "r", Address("10.0.0.2", 7600), 1, since, True, False)
    reply = run_now(fleet_link().call(older, ReachIncarnation("u", 1)))
    assert reply == NotSupported()


def test_an_unreadable_registration_does_not_keep_a_router_from_joining():
    store = FakeStore()
    other = Address("10.0.0.2", 7600)
    run_now(store.create(ROUTERS_KIND, "front-0", {"of": "a newer build"}))
    run_now(store.create(ROUTERS_KIND, "front-2", {"peer": str(other), "more": 1}))
    fleet = fleet_link()
    register(fleet, store)
    assert other in digest_targets(fleet)


def test_routers_of_the_store_share_the_retry_budget_before_they_are_heard_of():
    """Guards against a router that takes itself for alone after its start."""
    store = FakeStore()
    put_routers(store, ["front-1", "front-2", "front-3"], admission="admitted")
    fleet = fleet_link()
    assert fleet.count_sharers() is None
    read_list(fleet, store)
    assert fleet.count_sharers() == 3


def test_a_new_router_uses_nothing_until_the_others_have_counted_it():
    """Guards against retries beyond the budget by routers that join."""
    store, clock = FakeStore(), FakeClock()
    fleet = fleet_link(clock)
    register(fleet, store)
    run_for(fleet, store, clock, 16)
    assert own_entry(store)["admission"] == "pending"
    assert fleet.count_sharers() is None
    run_for(fleet, store, clock, 3)
    assert own_entry(store)["admission"] == "admitted"
    assert fleet.count_sharers() == 1


def test_routers_that_register_at_the_same_time_count_each_other():
    """Guards against new routers that each miss the others in the store."""
    store, clock = FakeStore(), FakeClock()
    fleet = fleet_link(clock)
    register(fleet, store)
    put_routers(store, ["front-2"], admission="pending")
    run_for(fleet, store, clock, 20)
    assert fleet.count_sharers() == 2


def test_a_restarted_router_counts_the_others_at_once():
    """Guards against a slack that stays unused after a restart."""
    store = FakeStore()
    put_routers(store, ["front-1", "front-2"], admission="admitted")
    fleet = fleet_link()
    register(fleet, store)
    assert fleet.count_sharers() == 2


def test_a_router_that_is_restarted_before_it_is_admitted_waits_again():
    """Guards against a restart that makes a new router seem an old one."""
    store = FakeStore()
    put_routers(store, ["front-1", "front-2"], admission="pending")
    fleet = fleet_link()
    register(fleet, store)
    assert fleet.count_sharers() is None
    assert own_entry(store)["admission"] == "pending"


def test_an_entry_of_an_older_build_is_replaced_by_a_pending_one():
    store = FakeStore()
    put_routers(store, ["front-1"], more=1)
    register(fleet_link(), store)
    assert own_entry(store) == {
        "peer": "10.0.0.1:7600",
        "zone": "glasgow",
        "more": 1,
        "admission": "pending",
    }


def test_a_router_whose_entry_was_removed_registers_as_a_new_one():
    """Guards against a router that goes on with a part that others do not count."""
    store = FakeStore()
    put_routers(store, ["front-1"], admission="admitted")
    fleet = fleet_link()
    read_list(fleet, store)
    run_now(store.delete(ROUTERS_KIND, "front-1"))
    read_list(fleet, store)
    assert fleet.count_sharers() is None
    register(fleet, store)
    assert own_entry(store)["admission"] == "pending"


def test_entries_of_routers_that_are_not_heard_of_for_an_hour_are_removed():
    """Guards against shares that shrink with each instance ever replaced."""
    store, clock = FakeStore(), FakeClock()
    put_routers(store, ["front-1", "front-2"], admission="admitted")
    fleet = fleet_link(clock)
    read_list(fleet, store)
    clock.advance(3500)
    run_now(fleet.remove_ended(store))
    assert (ROUTERS_KIND, "front-2") in store.object_by_key
    clock.advance(200)
    run_now(fleet.remove_ended(store))
    assert (ROUTERS_KIND, "front-2") not in store.object_by_key
    assert (ROUTERS_KIND, "front-1") in store.object_by_key


def test_routers_of_the_store_are_known_before_they_are_heard_of():
    """Guards against allowances of cold upstreams that parts of a fleet each use."""
    store = FakeStore()
    put_routers(store, ["front-1", "front-2", "front-3"])
    fleet = fleet_link()
    read_list(fleet, store)
    assert fleet.known_routers() == {"front-1", "front-2", "front-3"}
