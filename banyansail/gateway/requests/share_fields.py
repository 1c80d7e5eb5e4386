"""Log fields that say whose share of a service was used up."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from banyansail.gateway.decisions.queue.work_shares import ShareUse


def share_fields(share: ShareUse | None) -> dict[str, Any]:
    """Return the fields of a workspace's use; none if it did not matter.

    `fleet_age_ms` is the age of the other routers' figures, -1 if there are none.
    """
    if share is None:
        return {}
    age = share.fleet_age
    return {
        "workspace": share.workspace,
        "work_use": round(share.use, 3),
        "work_share": round(share.share, 3),
        "fleet_age_ms": -1 if age is None else int(age.total_seconds() * 1000),
    }
