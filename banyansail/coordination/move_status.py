"""Conditional update that stores the final status of a move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.coordination.budget import CallKind
from banyansail.rollout.status import (
    MoveStatus,
    decode_status,
    encode_status,
    status_key,
    update_unless_final,
)

if TYPE_CHECKING:
    from banyansail.coordination.client import PlatformClient


async def publish_final_status(
    platform: PlatformClient, service: str, status: MoveStatus
) -> MoveStatus | None:
    """Write a final status unless its move has one; return the stored status.

    Raises
    ------
    PlatformUnavailableError
        If the platform can't be reached.
    """
    stored = await platform.update(
        status_key(service),
        lambda body: update_unless_final(body, status),
        lambda body: body == encode_status(status),
        CallKind.ROLLOUT,
    )
    return decode_status(stored.body)
