"""Structured log, with one line for each routing or placement decision."""

from __future__ import annotations

import sys
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import eliot
from twisted.logger import LogLevel, globalLogBeginner

from banyansail.log_output import LogOutput

if TYPE_CHECKING:
    from collections.abc import Iterator

    from twisted.logger import LogEvent


@contextmanager
def open_log(path: str | None) -> Iterator[None]:
    """Write eliot messages to a file or to standard output within the context.

    Parameters
    ----------
    path : str or None
        File to append to; ``None`` or ``"-"`` means standard output.
    """
    globalLogBeginner.beginLoggingTo([_log_twisted_error], redirectStandardIO=False)
    if path in (None, "-"):
        with (
            LogOutput(sys.stdout.fileno()) as output,
            _destination_added(eliot.FileDestination(file=output)),
        ):
            yield
        return
    with open(path, "a", encoding="utf-8", buffering=1) as file:
        with _destination_added(eliot.FileDestination(file=file)):
            yield


@contextmanager
def _destination_added(destination: Any) -> Iterator[None]:
    eliot.add_destinations(destination)
    try:
        yield
    finally:
        eliot.remove_destination(destination)


def _log_twisted_error(event: LogEvent) -> None:
    """Log an error of Twisted; ignore messages of lower levels."""
    if event["log_level"] < LogLevel.error:
        return
    failure = event.get("log_failure")
    text = failure.getTraceback() if failure else str(event.get("log_format"))
    eliot.log_message(message_type="banyansail:twisted_error", error=text)


def log_decision(decision: str, reason: str, **fields: Any) -> None:
    """Log one decision.

    Parameters
    ----------
    decision : str
        The decision, for example ``"route"`` or ``"refuse"``.
    reason : str
        Why it was made.
    **fields
        JSON-serializable details, such as the alternatives.
    """
    eliot.log_message(
        message_type="banyansail:decision", decision=decision, reason=reason, **fields
    )


def log_event(event: str, **fields: Any) -> None:
    """Log an event that is not a decision."""
    eliot.log_message(message_type=f"banyansail:{event}", **fields)
