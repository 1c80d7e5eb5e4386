"""Faults of a run, drawn by its seed: series that overlap, with calm between them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from benchmarks.soak.kinds import (
    ALL_ROUTERS,
    KIND_BY_NAME,
    THE_STORE,
    FaultKind,
    Scope,
)
from benchmarks.soak.records import Fault
from benchmarks.soak.site_config import DEPOT, ENGINES

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

SERIES_S = (4.0, 9.0)
CALM_S = (0.5, 2.0)
FAULTS_PER_S_AND_WEIGHT = 0.08
# From the end of a fault to the next one of its scope at its target.
GAP_S_BY_SCOPE = {
    Scope.ANSWERS: 0.0,
    Scope.CONTINUATIONS: 0.0,
    Scope.EXTRA: 0.0,
    Scope.COPIES: 0.0,
    Scope.REJECTIONS: 1.0,
    Scope.ADMISSION: 0.0,
    Scope.UPSTREAM: 1.5,
    Scope.ROUTER: 4.0,
    Scope.LINKS: 1.0,
    Scope.SERVICE: 2.0,
    Scope.FLEET: 2.0,
    Scope.STORE: 4.0,
    Scope.CONNECTIONS: 6.0,
}
ROUTER_SCOPES = (Scope.ROUTER, Scope.LINKS)
# One target is left as it is at any time.
SPARING_SCOPES = (*ROUTER_SCOPES, Scope.UPSTREAM)


class Planner:
    """Draws the faults of a run.

    The faults of each kind are drawn by themselves, so that a seed keeps most of its
    faults when a kind is added.

    Parameters
    ----------
    seed : int
        The same seed gives the same faults.
    routers, upstreams, engines : sequence of str
        Names of the targets; engines are the upstreams that answer with streams.
    kinds : sequence of str
        Names of the kinds to draw from.
    """

    def __init__(
        self,
        seed: int,
        routers: Sequence[str],
        upstreams: Sequence[str],
        engines: Sequence[str],
        kinds: Sequence[str],
    ) -> None:
        self._seed = seed
        self._kinds = [KIND_BY_NAME[name] for name in kinds]
        self._targets_by_scope = {
            scope: list(routers if scope in ROUTER_SCOPES else upstreams)
            for scope in Scope
        }
        self._targets_by_scope[Scope.CONTINUATIONS] = list(engines)
        self._targets_by_scope[Scope.SERVICE] = [DEPOT, ENGINES]
        self._targets_by_scope[Scope.FLEET] = [ALL_ROUTERS]
        self._targets_by_scope[Scope.STORE] = [THE_STORE]
        self._targets_by_scope[Scope.CONNECTIONS] = [ALL_ROUTERS]
        self._free_at: dict[tuple[Scope, str], float] = {}

    def draw(self, seconds: float) -> list[Fault]:
        """Return the faults of a run, by their start."""
        series = self._draw_series(seconds)
        drawn = [fault for kind in self._kinds for fault in self._draw(kind, series)]
        drawn.sort(key=lambda fault: fault.start_s)
        return [fault for fault in drawn if self._take(fault)]

    def _draw_series(self, seconds: float) -> list[tuple[float, float]]:
        """Return the start and end of each series."""
        random = Random(self._seed)
        series = []
        now = 0.0
        while now < seconds:
            end = min(seconds, now + random.uniform(*SERIES_S))
            series.append((now, end))
            now = end + random.uniform(*CALM_S)
        return series

    def _draw(
        self, kind: FaultKind, series: list[tuple[float, float]]
    ) -> Iterator[Fault]:
        random = Random(f"{self._seed}-{kind.name}")
        rate = FAULTS_PER_S_AND_WEIGHT * kind.weight
        for start, end in series:
            now = start + random.expovariate(rate)
            while now < end:
                target = random.choice(self._targets_by_scope[kind.scope])
                until = now + random.uniform(*kind.duration_s)
                yield Fault(kind.name, target, now, until, kind.draw(random))
                now += random.expovariate(rate)

    def _take(self, fault: Fault) -> bool:
        """Return whether a fault can be struck beside the earlier ones."""
        scope = scope_of(fault)
        if scope is Scope.FLEET:
            return self._take_fleet(fault)
        free = [
            target
            for target in self._targets_by_scope[scope]
            if self._free_at.get((scope, target), 0) <= fault.start_s
        ]
        is_last = scope in SPARING_SCOPES and len(free) == 1
        if fault.target not in free or is_last:
            return False
        free_at = fault.end_s + GAP_S_BY_SCOPE[scope]
        self._free_at[scope, fault.target] = free_at
        return True

    def _take_fleet(self, fault: Fault) -> bool:
        """Return whether no router has a fault of its process meanwhile."""
        keys = [(Scope.ROUTER, name) for name in self._targets_by_scope[Scope.ROUTER]]
        if any(self._free_at.get(key, 0) > fault.start_s for key in keys):
            return False
        free_at = fault.end_s + GAP_S_BY_SCOPE[Scope.FLEET]
        self._free_at.update(dict.fromkeys(keys, free_at))
        return True


def names_of_kinds(text: str | None) -> list[str]:
    """Return the kinds of a list with commas between them; all by default.

    Raises
    ------
    ValueError
        If there is no kind of such a name.
    """
    if text is None:
        return list(KIND_BY_NAME)
    names = [item.strip() for item in text.split(",")]
    for name in names:
        if name not in KIND_BY_NAME:
            raise ValueError(f"no kind {name!r}; there are {', '.join(KIND_BY_NAME)}")
    return names


def scope_of(fault: Fault) -> Scope:
    """Return what a fault takes hold of."""
    return kind_of(fault).scope


def kind_of(fault: Fault) -> FaultKind:
    """Return the kind of a fault."""
    return KIND_BY_NAME[fault.kind]
