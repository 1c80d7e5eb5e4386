"""Charges of one request to the quota of its workspace."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.decisions.limits.quota import QuotaLimiter
    from banyansail.gateway.site import Workspace


class QuotaCharge:
    """Charges of a request, one for each run; the first was made at its admission.

    Parameters
    ----------
    quota : QuotaLimiter
        Quotas of all workspaces at this router.
    workspace : Workspace or None
        Workspace of the caller; ``None`` if nothing is charged.
    cost : float
        Cost of one run in the unit of the quota.
    """

    __slots__ = ("_charged_runs", "_cost", "_quota", "_workspace")

    def __init__(
        self, quota: QuotaLimiter, workspace: Workspace | None, cost: float
    ) -> None:
        self._quota = quota
        self._workspace = workspace
        self._cost = cost
        self._charged_runs = 1

    def cover(self, runs: int) -> None:
        """Charge what is missing for a number of runs at this router."""
        if self._workspace is None:
            return
        for _ in range(self._charged_runs, runs):
            self._quota.charge_run(self._workspace, self._cost)
        self._charged_runs = max(self._charged_runs, runs)

    def settle(self, runs: int) -> None:
        """Refund what was charged beyond the runs that may have happened here."""
        if self._workspace is None:
            return
        for _ in range(runs, self._charged_runs):
            self._quota.refund(self._workspace, self._cost)
        self._charged_runs = min(self._charged_runs, runs)
