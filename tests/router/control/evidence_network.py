"""Simulated routers that exchange evidence of one move."""

from __future__ import annotations

from datetime import timedelta

from banyansail.fleet.duties import Duties
from banyansail.rollout.evidence import EvidenceRecorder
from banyansail.router.control.evidence_exchange import EvidenceExchange
from tests.fleet.network import Network, Node

MOVE_NUMBER = 7


class Routers:
    """Routers of a simulated network that exchange evidence of one move."""

    def __init__(self, zones: int, routers_per_zone: int, loss: float = 0.0) -> None:
        self.network = Network(1, loss=loss)
        self.exchange_by_name: dict[str, EvidenceExchange] = {}
        self.recorder_by_name: dict[str, EvidenceRecorder] = {}
        for number in range(zones * routers_per_zone):
            self.add(f"r{number:03d}", f"z{number % zones}")
        self.network.run(20)

    def add(self, name: str, zone: str, incarnation: int = 1) -> None:
        node = self.network.add(name, zone, incarnation)
        recorder = self.recorder_by_name[name] = EvidenceRecorder()
        self.exchange_by_name[name] = EvidenceExchange(
            name,
            zone,
            self.network.clock,
            node.view,
            node.gossiper,
            self.duties(node),
            recorder,
        )
        self.exchange_by_name[name].set_moves({"s": MOVE_NUMBER})

    def duties(self, node: Node) -> Duties:
        return Duties(node.name, node.zone, node.gossiper)

    def record_calls(self, name: str, calls: int, workspace: str = "w") -> None:
        for number in range(calls):
            self.recorder_by_name[name].record(
                "s",
                "v2",
                "r",
                workspace,
                succeeded=number % 2 == 0,
                latency=timedelta(milliseconds=20),
                in_flight=1,
            )

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.4)):
            for name, exchange in self.exchange_by_name.items():
                if not self.network.node_by_name[name].is_frozen:
                    exchange.exchange()
            self.network.run(0.4)

    def totals(self) -> set[int]:
        """Return the call counts in the evidence of the routers that are not frozen."""
        return {
            sum(cell.total for cell in exchange.of_move(MOVE_NUMBER).values())
            for name, exchange in self.exchange_by_name.items()
            if not self.network.node_by_name[name].is_frozen
        }
