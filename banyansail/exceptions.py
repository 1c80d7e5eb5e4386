"""Errors with codes that the package raises."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.config.findings import Finding


class BanyansailError(Exception):
    """Base of all errors of the package.

    Parameters
    ----------
    message : str
        What went wrong and where, for a person.
    """

    code = "internal"

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class ConfigError(BanyansailError):
    """A settings or rules file has findings that forbid its use."""

    code = "invalid_config"

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class PlatformUnavailableError(BanyansailError):
    """The platform did not answer, refused the call or the budget is spent."""

    code = "platform_unavailable"


class ConflictError(BanyansailError):
    """A conditional update lost against another writer.

    Parameters
    ----------
    key : str
        Key of the object.
    expected, found : int
        Version that the update was conditional on, and the version in force.
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
    """A frame or datagram of a peer is malformed or fails authentication."""

    code = "bad_frame"


class CallError(BanyansailError):
    """A request of a caller can't be read."""

    code = "bad_request"


class StoreConflictError(BanyansailError):
    """A conditional update of the store found another revision."""

    code = "store_conflict"


class ConnectFailedError(BanyansailError):
    """No connection could be opened, so that nothing was sent."""

    code = "connect_failed"


class HistoryLostError(BanyansailError):
    """The store no longer has the changes that a watch asked for."""

    code = "history_lost"
