"""The accepted rules and their history, as an object of the platform."""

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
    """Rules as they were accepted.

    Parameters
    ----------
    version : int
        Version of the platform's object; 0 if none were accepted yet.
    by : str
        Operator who applied them.
    writer : str
        Identity of the one update that wrote them.
    """

    version: int
    text: str
    by: str
    at: datetime
    writer: str


class LostRaceError(ConflictError):
    """Another operator's rules were accepted first.

    Parameters
    ----------
    winner : AcceptedRules
        What is in force instead.
    """

    code = "lost_race"

    def __init__(self, winner: AcceptedRules, expected: int) -> None:
        super().__init__(RULES_KEY, expected, winner.version)
        self.winner = winner
        self.message = (
            f"not applied: {winner.by} applied version {winner.version} "
            f"at {winner.at.isoformat(timespec='seconds')}; "
            f"you started from version {expected}"
        )
        self.args = (self.message,)


async def read_rules(platform: PlatformClient) -> tuple[AcceptedRules, Any]:
    """Return the accepted rules and the body that holds them."""
    stored = await platform.get(RULES_KEY, CallKind.CONFIGURATION)
    if stored.body is None:
        epoch = datetime.fromtimestamp(0).astimezone()
        return AcceptedRules(0, "", "nobody", epoch, ""), None
    return _decode(stored.version, stored.body), stored.body


async def apply_rules(
    platform: PlatformClient,
    text: str,
    *,
    by: str,
    writer: str,
    at: datetime,
    expected: int | None = None,
) -> AcceptedRules:
    """Accept rules by one conditional update.

    Parameters
    ----------
    expected : int or None
        Version that must be in force; ``None`` for the one that is read now.

    Raises
    ------
    LostRaceError
        If another version is in force.
    PlatformUnavailableError
        If it is not known whether the update took effect.
    """
    held, body = await read_rules(platform)
    if expected is not None and expected != held.version:
        raise LostRaceError(held, expected)
    wanted = _encode(text, by, writer, at, held, body)
    try:
        version = await platform.put(
            RULES_KEY, wanted, held.version, CallKind.CONFIGURATION
        )
    except ConflictError:
        winner, _ = await read_rules(platform)
        raise LostRaceError(winner, held.version) from None
    except PlatformUnavailableError:
        return await _recognise(platform, writer, held.version)
    return AcceptedRules(version, text, by, at, writer)


async def _recognise(
    platform: PlatformClient, writer: str, expected: int
) -> AcceptedRules:
    """Read back after an answer was lost, and recognise the own update."""
    found, body = await read_rules(platform)
    if found.writer == writer:
        return found
    for past in history_of(found, body):
        if past.writer == writer:
            return past
    if found.version != expected:
        raise LostRaceError(found, expected)
    raise PlatformUnavailableError(
        f"no answer to the update; version {found.version} is still in force, try again"
    )


def history_of(current: AcceptedRules, body: Any) -> list[AcceptedRules]:
    """Return the accepted rules, newest first."""
    past = [] if body is None else body.get("history", [])
    older = [
        AcceptedRules(
            item["version"],
            zlib.decompress(base64.b64decode(item["text"])).decode(),
            item["by"],
            datetime.fromisoformat(item["at"]),
            item["writer"],
        )
        for item in past
    ]
    return [current, *older] if current.version else older


def _decode(version: int, body: dict[str, Any]) -> AcceptedRules:
    at = datetime.fromisoformat(body["at"])
    return AcceptedRules(version, body["text"], body["by"], at, body["writer"])


def _encode(
    text: str,
    by: str,
    writer: str,
    at: datetime,
    held: AcceptedRules,
    body: Any,
) -> dict[str, Any]:
    history = [] if body is None else list(body.get("history", []))
    if held.version:
        history.insert(0, _encode_past(held))
    return {
        "text": text,
        "by": by,
        "at": at.isoformat(),
        "writer": writer,
        "history": history[:MAX_HISTORY],
    }


def _encode_past(held: AcceptedRules) -> dict[str, Any]:
    packed = base64.b64encode(zlib.compress(held.text.encode())).decode()
    return {
        "version": held.version,
        "by": held.by,
        "at": held.at.isoformat(),
        "writer": held.writer,
        "text": packed,
    }
