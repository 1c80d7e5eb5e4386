"""All checks, and those that a run makes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from benchmarks.soak.checks.budget import BudgetCheck
from benchmarks.soak.checks.config import ConfigCheck
from benchmarks.soak.checks.deadlines import DeadlineCheck
from benchmarks.soak.checks.denials import DenialCheck
from benchmarks.soak.checks.duties import DutyCheck
from benchmarks.soak.checks.order import OrderCheck
from benchmarks.soak.checks.overlaps import OverlapCheck
from benchmarks.soak.checks.promises import PromiseCheck
from benchmarks.soak.checks.repeats import RepeatCheck

if TYPE_CHECKING:
    from benchmarks.soak.checks.check import Check

CHECK_BY_RULE: dict[str, type[Check]] = {
    item.rule: item
    for item in (
        OrderCheck,
        RepeatCheck,
        OverlapCheck,
        PromiseCheck,
        DeadlineCheck,
        BudgetCheck,
        DutyCheck,
        ConfigCheck,
        DenialCheck,
    )
}


def checks_of(*, is_timed: bool) -> list[type[Check]]:
    """Return the checks to make, with or without those that measure time."""
    return [item for item in CHECK_BY_RULE.values() if is_timed or not item.is_timed]
