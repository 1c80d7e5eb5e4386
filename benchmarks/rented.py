"""Instances that a benchmark rents from a made-up cloud, and what they cost."""

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
    serves_from: int


class RentedInstances:
    """Instances of one drive.

    Parameters
    ----------
    start_steps : int
        An instance is paid for this long before it serves.
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
        """Return the instances as the planner sees them."""
        return [RunningInstance(item.name, item.pool) for item in self._instances]

    def serving(self, step: int) -> int:
        """Return how many instances serve at a step."""
        return sum(item.serves_from <= step for item in self._instances)

    def take_back(
        self, zones: set[str], draws: list[float], risk: Callable[[str], float]
    ) -> None:
        """Lose reclaimable instances: whole zones, and single ones by their draws.

        Parameters
        ----------
        risk : callable
            Probability by zone that a single instance is lost in this step.
        """
        self._instances = [
            item
            for item, draw in zip(self._instances, draws, strict=False)
            if _is_safe(item.pool)
            or (item.pool.zone not in zones and draw >= risk(item.pool.zone))
        ]

    def act(self, action: PlacementAction, step: int) -> None:
        """Start or stop an instance; a start may be refused."""
        match action:
            case StartInstance(pool):
                if not _is_safe(pool) and self._random.random() < REFUSED_SHARE:
                    return
                self.starts += 1
                name = f"i{self.starts:05}"
                serves_from = step + self._start_steps
                self._instances.append(_Instance(name, pool, serves_from))
            case StopInstance(name):
                self._instances = [
                    item for item in self._instances if item.name != name
                ]

    def pay(self, price: Callable[[InstancePool], float], hours: float) -> None:
        """Account for the price of all instances."""
        for item in self._instances:
            self.cost += price(item.pool) * hours


def _is_safe(pool: InstancePool) -> bool:
    return pool.instance_class is InstanceClass.ON_DEMAND
