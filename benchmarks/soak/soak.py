"""One run of the soak: fleet, callers, faults, checks."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

from benchmarks.soak.fleet import Fleet
from benchmarks.soak.http_caller import OVERDUE_S
from benchmarks.soak.operator import Operator
from benchmarks.soak.plan import Planner
from benchmarks.soak.records import (
    Evidence,
    Fault,
    Finding,
    read_duty_calls,
    read_responses,
    read_runs,
)
from benchmarks.soak.striker import Striker

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from pathlib import Path

    from banyansail.clock import Clock
    from benchmarks.soak.checks.check import Check

CALLERS = 24
LONGEST_REQUEST_S = 8.0 + OVERDUE_S
START_SLACK_S = 30.0  # of the callers' process


@dataclass(slots=True, frozen=True)
class Options:
    """What a run consists of.

    Parameters
    ----------
    kinds : sequence of str
        Names of the kinds of faults.
    gateway_module : str
        Program that is run as a router.
    retry_slack : float
        Retries that the routers may send in a window beyond a share of the requests.
    """

    seed: int
    seconds: float
    kinds: Sequence[str]
    routers: int = 3
    upstreams: int = 7
    gateway_module: str = "benchmarks.soak.cut_gateway"
    retry_slack: float = 1000.0  # continuations are not to run out


@dataclass(slots=True)
class Result:
    """What a run has shown.

    Parameters
    ----------
    struck_by_kind, checks_by_rule : dict
        Faults that were struck, and checks that were made.
    """

    seed: int
    requests: int = 0
    complete: int = 0
    struck_by_kind: dict[str, int] = field(default_factory=dict)
    checks_by_rule: dict[str, int] = field(default_factory=dict)
    findings: list[Finding] = field(default_factory=list)


def run_soak(
    options: Options,
    checks: Sequence[type[Check]],
    folder: Path,
    clock: Clock,
    report: Callable[[Fault], None],
) -> Result:
    """Play a run; its records stay in the folder."""
    with Fleet(
        folder,
        options.routers,
        options.upstreams,
        options.gateway_module,
        options.retry_slack,
    ) as fleet:
        planner = Planner(
            options.seed,
            list(fleet.router_by_name),
            list(fleet.upstream_by_name),
            fleet.engines(),
            options.kinds,
        )
        faults = planner.draw(options.seconds)
        fleet.start_callers(options.seed, CALLERS, options.seconds)
        routers = list(fleet.router_by_name.values())
        operator = Operator(fleet.write_config, routers, clock)
        try:
            with operator:
                Striker(fleet, clock, report).strike_all(faults)
                fleet.wait_for_callers(LONGEST_REQUEST_S + START_SLACK_S)
        finally:
            operator.save(folder / "operator.jsonl")
            history = [asdict(fault) for fault in faults]
            (folder / "history.json").write_text(json.dumps(history, indent=1))
        evidence = _collect(fleet, faults)
        evidence.retry_slack = options.retry_slack
        evidence.changes, evidence.probes = operator.changes, operator.probes
    return check(options.seed, evidence, checks)


def _collect(fleet: Fleet, faults: list[Fault]) -> Evidence:
    responses = read_responses(fleet.record_path("callers"))
    names = {item.address: item.name for item in fleet.router_by_name.values()}
    for response in responses:
        response.router = names[response.router]
    paths = [fleet.record_path(name) for name in fleet.upstream_by_name]
    calls = read_duty_calls(fleet.record_path("store"))
    return Evidence(responses, read_runs(paths), faults, duty_calls=calls)


def check(seed: int, evidence: Evidence, checks: Sequence[type[Check]]) -> Result:
    """Make checks and return what they show."""
    result = Result(seed, requests=len(evidence.responses))
    result.complete = sum(item.looks_complete for item in evidence.responses)
    struck = [item.kind for item in evidence.faults if item.began_at is not None]
    result.struck_by_kind = dict(Counter(struck))
    for item in checks:
        made = item(evidence)
        result.findings += made.findings()
        result.checks_by_rule[item.rule] = made.count
    return result
