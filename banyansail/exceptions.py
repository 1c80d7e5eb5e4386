"""Errors of the package, each with a code."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.config.findings import Finding


class BanyansailError(Exception):
    """Base class of all errors of the package.

    Parameters
    ----------
    message : str
        Human-readable description of the error and where it occurred.
    """

    code = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class ConfigError(BanyansailError):
    """A settings or rules file has errors."""

    code = "invalid_config"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ListenError(BanyansailError):
    """An address cannot be listened on, for example because it is in use."""

    code = "cannot_listen"


class PlatformUnavailableError(BanyansailError):
    """A call failed: no answer of the platform, a rejection, or no call budget left."""

    code = "platform_unavailable"


class ConflictError(BanyansailError):
    """A conditional update failed because another writer changed the object.

    Parameters
    ----------
    key : str
        Key of the object.
    expected, found : int
        Version that the update required, and the current version.
    """

    code = "conflict"

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(
            f"object {key!r} is at version {found}, the update expected {expected}"
        )
        self.key = key
        self.expected = expected
        self.found = found


class WireError(BanyansailError):
    """A message is malformed or fails authentication."""

    code = "bad_frame"


class CallError(BanyansailError):
    """A request of a caller is malformed."""

    code = "bad_request"


class StoreConflictError(BanyansailError):
    """A conditional update of the store failed: the object has another revision."""

    code = "store_conflict"


class ConnectFailedError(BanyansailError):
    """The connection could not be opened; nothing was sent."""

    code = "connect_failed"


class WatchRenewedError(BanyansailError):
    """A watch whose connection may be stalled was given up; it is to be sent again."""

    code = "watch_renewed"


class HistoryLostError(BanyansailError):
    """The store has compacted the changes that a watch requested."""

    code = "history_lost"
