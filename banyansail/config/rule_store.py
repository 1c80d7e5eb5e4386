"""Accepted rules and their history, stored as one object of the platform."""

from __future__ import annotations

import base64
import zlib
from dataclasses import dataclass
from datetime import datetime
from typing import TYPE_CHECKING, Any

from banyansail.coordination.budget import CallKind
from banyansail.exceptions import ConflictError, PlatformUnavailableError

if TYPE_CHECKING:
    from banyansail.coordination.client import PlatformClient

RULES_KEY = "rules"
MAX_HISTORY = 20


@dataclass(slots=True, frozen=True)
class AcceptedRules:
    """A version of the rules that the platform has stored.

    Parameters
    ----------
    version : int
        Version of the platform's object; 0 if none were accepted yet.
    operator : str
        Operator who applied them.
    update_id : str
        Unique identifier of the update that wrote them.
    """

    version: int
    text: str
    operator: str
    accepted_at: datetime
    update_id: str


class LostRaceError(ConflictError):
    """A concurrent update of the rules was accepted first.

    Parameters
    ----------
    winner : AcceptedRules
        Rules that were accepted instead.
    """

    code = "lost_race"

    def __init__(self, winner: AcceptedRules, expected: int) -> None:
        super().__init__(RULES_KEY, expected, winner.version)
        self.winner = winner
        self.message = (
            f"not applied: {winner.operator} applied version {winner.version} "
            f"at {winner.accepted_at.isoformat(timespec='seconds')}; "
            f"you started from version {expected}"
        )
        self.args = (self.message,)


async def read_rules(platform: PlatformClient) -> tuple[AcceptedRules, Any]:
    """Return the accepted rules and the body of their stored object."""
    stored = await platform.get(RULES_KEY, CallKind.CONFIGURATION)
    if stored.body is None:
        epoch = datetime.fromtimestamp(0).astimezone()
        return AcceptedRules(0, "", "nobody", epoch, ""), None
    return _decode(stored.version, stored.body), stored.body


async def apply_rules(
    platform: PlatformClient,
    text: str,
    *,
    operator: str,
    update_id: str,
    accepted_at: datetime,
    expected: int | None = None,
) -> AcceptedRules:
    """Store new rules in one conditional update.

    Parameters
    ----------
    expected : int or None
        Version that the update replaces; ``None`` for the current one.

    Raises
    ------
    LostRaceError
        If another version was accepted since.
    PlatformUnavailableError
        If no answer arrived and the update was not found afterwards.
    """
    current, body = await read_rules(platform)
    if expected is not None and expected != current.version:
        raise LostRaceError(current, expected)
    new_body = _encode(text, operator, update_id, accepted_at, current, body)
    try:
        version = await platform.put(
            RULES_KEY, new_body, current.version, CallKind.CONFIGURATION
        )
    except ConflictError:
        winner, _ = await read_rules(platform)
        raise LostRaceError(winner, current.version) from None
    except PlatformUnavailableError:
        return await _find_own_update(platform, update_id, current.version)
    return AcceptedRules(version, text, operator, accepted_at, update_id)


async def _find_own_update(
    platform: PlatformClient, update_id: str, expected: int
) -> AcceptedRules:
    """Read the rules after a lost answer; return this update if it was accepted."""
    stored, body = await read_rules(platform)
    if stored.update_id == update_id:
        return stored
    for entry in decode_history(stored, body):
        if entry.update_id == update_id:
            return entry
    if stored.version != expected:
        raise LostRaceError(stored, expected)
    raise PlatformUnavailableError(
        f"no answer to the update; version {stored.version} is still in force, retry"
    )


def decode_history(current: AcceptedRules, body: Any) -> list[AcceptedRules]:
    """Return all accepted versions, newest first."""
    items = [] if body is None else body.get("history", [])
    history = [
        AcceptedRules(
            item["version"],
            zlib.decompress(base64.b64decode(item["text"])).decode(),
            item["by"],
            datetime.fromisoformat(item["at"]),
            item["writer"],
        )
        for item in items
    ]
    return [current, *history] if current.version else history


def _decode(version: int, body: dict[str, Any]) -> AcceptedRules:
    accepted_at = datetime.fromisoformat(body["at"])
    return AcceptedRules(version, body["text"], body["by"], accepted_at, body["writer"])


def _encode(
    text: str,
    operator: str,
    update_id: str,
    accepted_at: datetime,
    current: AcceptedRules,
    body: Any,
) -> dict[str, Any]:
    history = [] if body is None else list(body.get("history", []))
    if current.version:
        history.insert(0, _encode_history_entry(current))
    return {
        "text": text,
        "by": operator,
        "at": accepted_at.isoformat(),
        "writer": update_id,
        "history": history[:MAX_HISTORY],
    }


def _encode_history_entry(accepted: AcceptedRules) -> dict[str, Any]:
    compressed_text = base64.b64encode(zlib.compress(accepted.text.encode())).decode()
    return {
        "version": accepted.version,
        "by": accepted.operator,
        "at": accepted.accepted_at.isoformat(),
        "writer": accepted.update_id,
        "text": compressed_text,
    }
