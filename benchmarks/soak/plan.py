"""Faults of a run, drawn by its seed: series that overlap, with calm between them."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from benchmarks.soak.kinds import KIND_BY_NAME, FaultKind, Scope
from benchmarks.soak.records import Fault

if TYPE_CHECKING:
    from collections.abc import Sequence

SERIES_S = (4.0, 9.0)
CALM_S = (0.5, 2.0)
FAULTS_PER_S = 2.5
# From the end of a fault to the next one of its scope at its target.
GAP_S_BY_SCOPE = {
    Scope.ANSWERS: 0.0,
    Scope.CONTINUATIONS: 0.0,
    Scope.ADMISSION: 0.0,
    Scope.UPSTREAM: 1.5,
    Scope.ROUTER: 4.0,
    Scope.LINKS: 1.0,
}
ROUTER_SCOPES = (Scope.ROUTER, Scope.LINKS)
# One target is left as it is at any time.
SPARING_SCOPES = (*ROUTER_SCOPES, Scope.UPSTREAM)


class Planner:
    """Draws the faults of a run.

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
        self._random = Random(seed)
        self._kinds = [KIND_BY_NAME[name] for name in kinds]
        self._targets_by_scope = {
            scope: list(routers if scope in ROUTER_SCOPES else upstreams)
            for scope in Scope
        }
        self._targets_by_scope[Scope.CONTINUATIONS] = list(engines)
        self._free_at: dict[tuple[Scope, str], float] = {}

    def draw(self, seconds: float) -> list[Fault]:
        """Return the faults of a run, by their start."""
        faults = []
        now = 0.0
        while now < seconds:
            series_end = min(seconds, now + self._random.uniform(*SERIES_S))
            while now < series_end:
                fault = self._draw_fault(now)
                if fault is not None:
                    faults.append(fault)
                now += self._random.expovariate(FAULTS_PER_S)
            now += self._random.uniform(*CALM_S)
        return faults

    def _draw_fault(self, now: float) -> Fault | None:
        weights = [kind.weight for kind in self._kinds]
        kind = self._random.choices(self._kinds, weights)[0]
        targets = self._free_targets(kind.scope, now)
        if not targets:
            return None
        target = self._random.choice(targets)
        end = now + self._random.uniform(*kind.duration_s)
        self._free_at[kind.scope, target] = end + GAP_S_BY_SCOPE[kind.scope]
        return Fault(kind.name, target, now, end, kind.draw(self._random))

    def _free_targets(self, scope: Scope, now: float) -> list[str]:
        names = self._targets_by_scope[scope]
        free = [item for item in names if self._free_at.get((scope, item), 0) <= now]
        return free[1:] if scope in SPARING_SCOPES and len(free) == 1 else free


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
