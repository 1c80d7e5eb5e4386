"""Bytes of gossip for each router at sizes up to 320, on a fake clock.

The gossipers of all routers run in this process; datagrams are encoded and decoded
as on the wire. Run with ``python -m benchmarks.gossip_size [SIZE...]``.
"""

from __future__ import annotations

import sys

from banyansail.fleet.entries import Topic
from benchmarks.points import report_sizes
from tests.fleet.network import Network

SIZES = (36, 90, 180, 320)
ZONES = 7
SETTLE_S = 60
REST_S = 6
MAC_BYTES = 16
UDP_HEADER_BYTES = 28


def measure(size: int) -> dict[str, float]:
    """Measure one size at rest, for a change of rules and for a draining router."""
    network = Network(1)
    for number in range(size):
        network.add(f"router-{number:03d}", f"zone-{number % ZONES}")
    network.run(SETTLE_S)
    live_counts = [
        len(node.gossiper.live_members()) for node in network.node_by_name.values()
    ]
    rest = _measure_bytes(network, REST_S) / REST_S
    change_s, change = _change_rules(network)
    leaving_s, leaving = _mark_leaving(network)
    return {
        "routers": size,
        "least_heard": min(live_counts),
        "rest_bytes_per_s": rest,
        "change_bytes": max(0.0, change - rest * REST_S),
        "change_known_s": change_s,
        "leaving_bytes": max(0.0, leaving - rest * REST_S),
        "leaving_known_s": leaving_s,
    }


def _measure_bytes(network: Network, seconds: float) -> float:
    """Return the average bytes that a router sends and receives in a time."""
    before = sum(network.bytes_by_name.values())
    datagram_count = len(network.recorded)
    network.run(seconds)
    sent = sum(network.bytes_by_name.values()) - before
    overhead = (len(network.recorded) - datagram_count) * (MAC_BYTES + UDP_HEADER_BYTES)
    return 2 * (sent + overhead) / len(network.node_by_name)


def _change_rules(network: Network) -> tuple[float, float]:
    """Let watchers apply new rules, and the others once they receive the version.

    Return the time until all have it, and the average bytes of a router.
    """
    nodes = list(network.node_by_name.values())
    for node in nodes[: 2 * ZONES]:
        node.publish_member(7)
    before = sum(network.bytes_by_name.values())
    pending = set(network.node_by_name) - {node.name for node in nodes[: 2 * ZONES]}
    elapsed = 0.0
    while elapsed < REST_S:
        network.tick()
        elapsed += 0.2
        for name in list(pending):
            if 7 in network.versions_at(name).values():
                network.node_by_name[name].publish_member(7)
                pending.discard(name)
                known_at_s = elapsed
    assert not pending
    sent = sum(network.bytes_by_name.values()) - before
    return known_at_s, 2 * sent / len(nodes)


def _mark_leaving(network: Network) -> tuple[float, float]:
    before = sum(network.bytes_by_name.values())
    network.node_by_name["router-007"].gossiper.publish(Topic.LEAVING, b"x" * 40)
    duration = network.run_until(
        lambda: network.all_have(Topic.LEAVING, "router-007", b"x" * 40)
    )
    network.run(max(0.0, REST_S - duration))
    sent = sum(network.bytes_by_name.values()) - before
    return duration, 2 * sent / len(network.node_by_name)


def main(sizes: list[int]) -> None:
    """Print a table and save the points."""
    report_sizes("gossip", "routers", [measure(size) for size in sizes])


if __name__ == "__main__":
    main([int(item) for item in sys.argv[1:]] or list(SIZES))
