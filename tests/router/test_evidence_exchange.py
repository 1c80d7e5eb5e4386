"""Evidence of moves between many routers over a network with faults."""

from __future__ import annotations

import pytest

from banyansail.fleet.entries import Topic
from tests.router.evidence_network import MOVE, Routers


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_every_router_learns_of_all_calls(loss):
    routers = Routers(3, 3, loss)
    for number, name in enumerate(routers.recorder_by_name):
        routers.count(name, number + 1)
    routers.run(20)
    assert routers.totals() == {45}


def test_frozen_aggregator_is_stood_in_for():
    routers = Routers(3, 3)
    node = routers.network.node_by_name["r000"]
    first, second = routers.duties(node).zone_aggregators()
    routers.count("r001", 5)
    routers.run(10)
    assert routers.totals() == {5}
    routers.network.node_by_name[first].is_frozen = True
    routers.count(second, 8)
    routers.run(10)
    assert routers.totals() == {13}
    routers.network.node_by_name[first].is_frozen = False
    routers.run(10)
    assert routers.totals() == {13}


def test_replaced_aggregator_forgets_and_doubles_nothing():
    routers = Routers(3, 3)
    node = routers.network.node_by_name["r000"]
    first = routers.duties(node).zone_aggregators()[0]
    for name in routers.recorder_by_name:
        routers.count(name, 2)
    routers.run(10)
    routers.add(first, "z0", incarnation=2)
    routers.count(first, 40)
    routers.run(20)
    known = {name: routers.exchange_by_name[name] for name in routers.exchange_by_name}
    counts = {
        name: sum(cell.total for cell in exchange.of_move(MOVE).values())
        for name, exchange in known.items()
    }
    assert max(counts.values()) <= 18 + 40
    assert min(counts.values()) >= 16 + 40


def test_cut_off_zone_goes_on_with_its_own_and_heals():
    routers = Routers(3, 3)
    network = routers.network
    network.is_cut = lambda sender, receiver: (sender.zone == "z0") != (
        receiver.zone == "z0"
    )
    for name in routers.recorder_by_name:
        routers.count(name, 2)
    routers.run(10)
    assert routers.totals() == {6, 12}
    network.is_cut = lambda sender, receiver: False
    routers.run(40)
    assert routers.totals() == {18}


def test_unreadable_evidence_of_one_router_hides_that_of_no_other():
    routers = Routers(3, 3)
    network = routers.network
    bad = network.node_by_name["r001"].gossiper
    bad.publish(Topic.ZONE_EVIDENCE, b"\xff not a struct")
    bad.send_to(list(network.node_by_name), Topic.EVIDENCE, b"\xff not a struct")
    for name in routers.recorder_by_name:
        if name != "r001":
            routers.count(name, 1)
    network.run(5)
    routers.run(20)
    assert routers.totals() == {8}
