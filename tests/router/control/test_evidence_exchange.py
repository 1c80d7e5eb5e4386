"""Tests of the evidence exchange of many routers over a faulty network."""

from __future__ import annotations

import pytest

from banyansail.fleet.entries import Topic
from tests.router.control.evidence_network import MOVE_NUMBER, Routers


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_every_router_receives_the_evidence_of_all_calls(loss):
    routers = Routers(3, 3, loss)
    for number, name in enumerate(routers.recorder_by_name):
        routers.record_calls(name, number + 1)
    routers.run(20)
    assert routers.totals() == {45}


def test_next_aggregator_replaces_a_frozen_one():
    routers = Routers(3, 3)
    node = routers.network.node_by_name["r000"]
    first, second = routers.duties(node).zone_aggregators()
    routers.record_calls("r001", 5)
    routers.run(10)
    assert routers.totals() == {5}
    routers.network.node_by_name[first].is_frozen = True
    routers.record_calls(second, 8)
    routers.run(10)
    assert routers.totals() == {13}
    routers.network.node_by_name[first].is_frozen = False
    routers.run(10)
    assert routers.totals() == {13}


def test_replaced_aggregator_loses_and_doubles_no_evidence():
    routers = Routers(3, 3)
    node = routers.network.node_by_name["r000"]
    first = routers.duties(node).zone_aggregators()[0]
    for name in routers.recorder_by_name:
        routers.record_calls(name, 2)
    routers.run(10)
    routers.add(first, "z0", incarnation=2)
    routers.record_calls(first, 40)
    routers.run(20)
    exchanges = {
        name: routers.exchange_by_name[name] for name in routers.exchange_by_name
    }
    counts = {
        name: sum(cell.total for cell in exchange.of_move(MOVE_NUMBER).values())
        for name, exchange in exchanges.items()
    }
    assert max(counts.values()) <= 18 + 40
    assert min(counts.values()) >= 16 + 40


def test_partitioned_zone_uses_its_own_evidence_until_the_partition_heals():
    routers = Routers(3, 3)
    network = routers.network
    network.is_cut = lambda sender, receiver: (sender.zone == "z0") != (
        receiver.zone == "z0"
    )
    for name in routers.recorder_by_name:
        routers.record_calls(name, 2)
    routers.run(10)
    assert routers.totals() == {6, 12}
    network.is_cut = lambda sender, receiver: False
    routers.run(40)
    assert routers.totals() == {18}


def test_unreadable_evidence_of_one_router_hides_that_of_no_other():
    routers = Routers(3, 3)
    network = routers.network
    faulty_gossiper = network.node_by_name["r001"].gossiper
    faulty_gossiper.publish(Topic.ZONE_EVIDENCE, b"\xff not a struct")
    faulty_gossiper.send_to(
        list(network.node_by_name), Topic.EVIDENCE, b"\xff not a struct"
    )
    for name in routers.recorder_by_name:
        if name != "r001":
            routers.record_calls(name, 1)
    network.run(5)
    routers.run(20)
    assert routers.totals() == {8}
