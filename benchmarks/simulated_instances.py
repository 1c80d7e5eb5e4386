"""Simulated instances of a cloud, with refused starts, reclaims and their cost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from banyansail.config.rules import InstanceClass
from banyansail.placement.planner import (
    InstancePool,
    PlacementAction,
    RunningInstance,
    StartInstance,
    StopInstance,
)

REFUSED_SHARE = 0.1  # of the starts of reclaimable instances


@dataclass(slots=True)
class _Instance:
    name: str
    pool: InstancePool
    serving_from_step: int


class SimulatedInstances:
    """Instances of one simulation.

    Parameters
    ----------
    start_steps : int
        Steps for which an instance is paid before it serves.
    random : Random
        Source of the refusals.
    """

    __slots__ = ("_instances", "_random", "_start_steps", "cost", "starts")

    def __init__(self, start_steps: int, random: Random) -> None:
        self._start_steps = start_steps
        self._random = random
        self._instances: list[_Instance] = []
        self.cost = 0.0
        self.starts = 0

    def running(self) -> list[RunningInstance]:
        """Return the instances as input of the planner."""
        return [RunningInstance(item.name, item.pool) for item in self._instances]

    def count_serving(self, step: int) -> int:
        """Return how many instances serve at a step."""
        return sum(item.serving_from_step <= step for item in self._instances)

    def reclaim(
        self,
        zones: set[str],
        draws: list[float],
        loss_probability: Callable[[str], float],
    ) -> None:
        """Remove reclaimable instances: whole zones, and single ones by random draws.

        Parameters
        ----------
        loss_probability : callable
            Probability by zone that a single instance is reclaimed in this step.
        """
        self._instances = [
            item
            for item, draw in zip(self._instances, draws, strict=False)
            if _is_on_demand(item.pool)
            or (
                item.pool.zone not in zones and draw >= loss_probability(item.pool.zone)
            )
        ]

    def apply(self, action: PlacementAction, step: int) -> None:
        """Start or stop an instance; a start may be refused."""
        match action:
            case StartInstance(pool):
                if not _is_on_demand(pool) and self._random.random() < REFUSED_SHARE:
                    return
                self.starts += 1
                name = f"i{self.starts:05}"
                serving_from_step = step + self._start_steps
                self._instances.append(_Instance(name, pool, serving_from_step))
            case StopInstance(name):
                self._instances = [
                    item for item in self._instances if item.name != name
                ]

    def add_cost(self, price: Callable[[InstancePool], float], hours: float) -> None:
        """Add the price of all instances for some hours to the cost."""
        for item in self._instances:
            self.cost += price(item.pool) * hours


def _is_on_demand(pool: InstancePool) -> bool:
    return pool.instance_class is InstanceClass.ON_DEMAND
