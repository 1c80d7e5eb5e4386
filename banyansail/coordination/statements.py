"""Conditional update that records the final statement about a move."""

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


async def settle_statement(
    platform: PlatformClient, service: str, statement: MoveStatement
) -> MoveStatement | None:
    """Write a final statement unless its move has one; return the stored statement.

    Raises
    ------
    PlatformUnavailableError
        If the platform can't be reached.
    """
    stored = await platform.update(
        status_key(service),
        lambda body: settle(body, statement),
        lambda body: body == encode_statement(statement),
        CallKind.ROLLOUT,
    )
    return decode_statement(stored.body)
