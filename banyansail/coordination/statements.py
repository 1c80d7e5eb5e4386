"""Conditional update that records the final statement about a move."""

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


async def settle_statement(
    platform: PlatformClient, service: str, statement: MoveStatus
) -> MoveStatus | None:
    """Write a final statement unless its move has one; return the stored statement.

    Raises
    ------
    PlatformUnavailableError
        If the platform can't be reached.
    """
    stored = await platform.update(
        status_key(service),
        lambda body: update_unless_final(body, statement),
        lambda body: body == encode_status(statement),
        CallKind.ROLLOUT,
    )
    return decode_status(stored.body)
