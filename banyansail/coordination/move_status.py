"""Conditional update that stores the final status of a move."""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.coordination.budget import CallKind
from banyansail.rollout.status import (
    MoveStatement,
    decode_statement,
    encode_statement,
    settle,
    status_key,
)

if TYPE_CHECKING:
    from banyansail.coordination.client import PlatformClient


async def publish_final_status(
    platform: PlatformClient, service: str, status: MoveStatement
) -> MoveStatement | None:
    """Write a final status unless its move has one; return the stored status.

    Raises
    ------
    PlatformUnavailableError
        If the platform can't be reached.
    """
    stored = await platform.update(
        status_key(service),
        lambda body: settle(body, status),
        lambda body: body == encode_statement(status),
        CallKind.ROLLOUT,
    )
    return decode_statement(stored.body)
