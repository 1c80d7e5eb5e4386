"""Answers of the platform's store, with the era in which they were given."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from banyansail.exceptions import PlatformUnavailableError
from banyansail.platform import header_names

if TYPE_CHECKING:
    from banyansail.upstreams.http_call import HttpAnswer


@dataclass(slots=True, frozen=True)
class StoreAnswer:
    """Answer of the store, with the era in which it was given."""

    answer: HttpAnswer
    era: int

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.answer.status

    def json(self) -> Any:
        """Return the decoded body, see `HttpAnswer.json`."""
        return self.answer.json()


def decode_era(answer: HttpAnswer) -> int | None:
    """Return the era that an answer names, if it names one."""
    for name, value in answer.headers:
        if name.lower() == header_names.STORE_ERA and value.strip().isdigit():
            return int(value)
    return None


def require_status(answer: StoreAnswer, *statuses: int) -> None:
    """Raise `PlatformUnavailableError` for an answer of another status."""
    if answer.status not in statuses:
        raise PlatformUnavailableError(
            f"the store answered with status {answer.status}"
        )


def read_body(answer: StoreAnswer, *statuses: int) -> dict[str, Any]:
    """Return the decoded body, which is missing if the connection was closed early."""
    require_status(answer, *statuses)
    body = answer.json()
    if not isinstance(body, dict):
        raise PlatformUnavailableError("the store's answer has no object")
    return body
