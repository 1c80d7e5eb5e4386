"""Gossip under loss, duplication, reordering, partitions, freezes and restarts."""

from __future__ import annotations

import pytest

from banyansail.fleet.entries import Topic
from banyansail.wire.gossip_codec import decode_gossip
from tests.fleet.network import Network

ZONES = ("z0", "z1", "z2")


def fleet(seed: int, count: int = 12, **faults: float) -> Network:
    network = Network(seed, **faults)
    for number in range(count):
        network.add(f"r{number}", ZONES[number % 3])
    return network


def all_routers_live(network: Network) -> bool:
    names = set(network.node_by_name)
    return all(
        set(node.gossiper.live_members()) == names
        for node in network.node_by_name.values()
    )


@pytest.mark.parametrize("seed", range(4))
def test_all_routers_become_live_over_a_lossy_network(seed):
    network = fleet(seed, loss=0.3, duplication=0.3)
    network.run_until(lambda: all_routers_live(network))
    network.run(30)
    assert all_routers_live(network)


@pytest.mark.parametrize("seed", range(4))
def test_leaving_mark_reaches_all_within_three_seconds(seed):
    network = fleet(seed, count=36, loss=0.05)
    network.run_until(lambda: all_routers_live(network))
    node = network.node_by_name["r7"]
    node.gossiper.publish(Topic.LEAVING, b"mark")
    elapsed_s = network.run_until(
        lambda: network.all_have(Topic.LEAVING, "r7", b"mark")
    )
    assert elapsed_s <= 3.0


def test_newer_value_wins_over_late_and_doubled_datagrams():
    network = fleet(1, count=6)
    network.run_until(lambda: all_routers_live(network))
    node = network.node_by_name["r0"]
    node.gossiper.publish(Topic.LEAVING, b"old")
    network.run(2)
    old_datagrams = [data for data in network.recorded if b"old" in data]
    node.gossiper.publish(Topic.LEAVING, b"new")
    network.run(3)
    for receiver in network.node_by_name.values():
        for data in old_datagrams:
            receiver.gossiper.receive(decode_gossip(data), node.address)
    assert network.all_have(Topic.LEAVING, "r0", b"new")


def test_replayed_datagrams_do_not_keep_a_dead_router_live():
    network = fleet(2, count=6)
    network.run_until(lambda: all_routers_live(network))
    network.run(5)
    replayed = network.recorded[-200:]
    dead = network.node_by_name.pop("r3")
    for _ in range(25):
        network.run(1)
        for node in network.node_by_name.values():
            for data in replayed:
                node.gossiper.receive(decode_gossip(data), dead.address)
    for node in network.node_by_name.values():
        assert not node.view.is_live("r3")


def test_partition_and_heal():
    network = fleet(3, count=9)
    network.run_until(lambda: all_routers_live(network))
    network.is_cut = lambda sender, receiver: (sender.zone == "z0") != (
        receiver.zone == "z0"
    )
    network.run(25)
    inside = network.node_by_name["r0"]
    assert set(inside.gossiper.live_members()) == {"r0", "r3", "r6"}
    inside.gossiper.publish(Topic.LEAVING, b"during")
    network.node_by_name["r1"].gossiper.publish(Topic.DEATHS, b"during")
    network.is_cut = lambda sender, receiver: False
    network.run_until(lambda: all_routers_live(network))
    network.run_until(lambda: network.all_have(Topic.LEAVING, "r0", b"during"))
    network.run_until(lambda: network.all_have(Topic.DEATHS, "r1", b"during"))


def test_frozen_router_ages_out_and_comes_back():
    network = fleet(4, count=6)
    network.run_until(lambda: all_routers_live(network))
    network.node_by_name["r2"].is_frozen = True
    network.run(25)
    assert not network.node_by_name["r0"].view.is_live("r2")
    network.node_by_name["r2"].is_frozen = False
    network.run_until(lambda: all_routers_live(network))


def test_restart_is_a_new_incarnation():
    network = fleet(5, count=6)
    network.node_by_name["r1"].gossiper.publish(Topic.LEAVING, b"before")
    network.run_until(lambda: network.all_have(Topic.LEAVING, "r1", b"before"))
    network.add("r1", "z1", incarnation=2)
    network.run_until(lambda: all_routers_live(network))
    network.run(10)
    for name, node in network.node_by_name.items():
        if name != "r1":
            assert "r1" not in node.view.values(Topic.LEAVING, live_only=False)


def test_restart_with_a_wall_clock_that_was_set_back():
    network = fleet(6, count=6)
    network.add("r1", "z1", incarnation=1000)
    network.run_until(lambda: all_routers_live(network))
    network.add("r1", "z1", incarnation=5)
    network.node_by_name["r1"].publish_member(42)
    network.run_until(
        lambda: all(
            network.versions_at(name).get("r1") == 42 for name in network.node_by_name
        )
    )


def test_wall_clock_steps_do_not_affect_liveness():
    """Liveness depends on the monotonic clock only."""
    network = fleet(7, count=6)
    network.run_until(lambda: all_routers_live(network))
    network.clock.wall_clock_offset += network.clock.elapsed * 1000
    network.run(5)
    assert all_routers_live(network)


def test_partition_within_a_zone_heals():
    network = Network(8)
    for number in range(12):
        network.add(f"r{number}", ZONES[number % 3])
    network.run_until(lambda: all_routers_live(network))
    half = {"r0", "r3", "r1"}
    network.is_cut = lambda sender, receiver: (
        sender.zone == receiver.zone
        and (sender.name in half) != (receiver.name in half)
    )
    network.run(100)
    network.is_cut = lambda sender, receiver: False
    network.run_until(lambda: all_routers_live(network))


def test_fleet_of_many_zones_is_discovered_from_few_seeds():
    network = Network(1)
    for number in range(36):
        network.add(f"router-{number:03d}", f"zone-{number % 7}")
    network.run_until(lambda: all_routers_live(network))


def test_zones_that_lost_each_other_for_an_hour_minus_a_minute_meet_again():
    network = Network(9)
    for number in range(6):
        network.add(f"r{number}", ZONES[number % 2])
    network.run_until(lambda: all_routers_live(network))
    for node in network.node_by_name.values():
        node.gossiper.targets.seeds = []  # the routers at the seeds were replaced
    network.is_cut = lambda sender, receiver: sender.zone != receiver.zone
    network.run(120)
    network.clock.advance(3600 - 180)
    network.run(2)
    network.is_cut = lambda sender, receiver: False
    network.run_until(lambda: all_routers_live(network))


def test_router_that_is_absent_for_long_is_removed():
    network = fleet(10, count=4)
    network.run_until(lambda: all_routers_live(network))
    del network.node_by_name["r3"]
    network.run(2)
    network.clock.advance(3700)
    for node in network.node_by_name.values():
        node.view.advance_heartbeat()
    network.run(2)
    for node in network.node_by_name.values():
        node.gossiper.expire_members()
        assert "r3" not in node.gossiper.members()


def test_unreachable_router_is_live_soon_after_it_recovers():
    """In a zone with more routers than a datagram has digests.

    Each datagram then carries a sample of the heartbeats, so a single heartbeat may
    reach the other zone late.
    """
    network = Network(7)
    for number in range(100):
        network.add(f"r{number:02d}", "large" if number < 96 else "small")
    network.run(30)
    frozen = network.node_by_name["r50"]
    frozen.is_frozen = True
    network.run(60)
    small_zone_nodes = [network.node_by_name[f"r{number}"] for number in range(96, 100)]
    assert not any(node.gossiper.is_live("r50") for node in small_zone_nodes)
    frozen.is_frozen = False
    before = network.received_by_name["r50"]
    elapsed_s = network.run_until(
        lambda: all(node.gossiper.is_live("r50") for node in small_zone_nodes), 60
    )
    received = network.received_by_name["r50"] - before
    assert elapsed_s <= 5
    assert received <= 18_000 * max(elapsed_s, 1)
