"""Objects of the platform's store, their revisions and changes, as it sends them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from banyansail.exceptions import PlatformUnavailableError
from banyansail.log import log_event


@dataclass(slots=True, frozen=True, order=True)
class Revision:
    """Revision of the store.

    A store that is restored from a copy gives out the same numbers again, in a new era.
    """

    era: int
    number: int


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object of the store.

    Parameters
    ----------
    revision : Revision
        Store revision of the last change of the object; updates are conditional on it.
    spec : object
        Content as its writer set it.
    status : object
        Status that the system published for it.
    created_revision : int
        Store revision at which the object was created.
    """

    name: str
    revision: Revision
    spec: Any
    status: Any = None
    created_revision: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """One event of a watch."""

    stored: StoredObject
    is_deleted: bool


def name_of(item: Any) -> str:
    """Return the name of a listed object, which need not be readable otherwise."""
    try:
        return str(item["metadata"]["name"])
    except (KeyError, TypeError) as error:
        raise PlatformUnavailableError(
            f"the store listed an object without a name: {error!r}"
        ) from None


def decode_listed(items: list[Any], era: int) -> list[StoredObject]:
    """Return the readable objects of a list; log and skip the others."""
    decoded = []
    for item in items:
        try:
            decoded.append(decode_object(item, era))
        except PlatformUnavailableError as error:
            log_event("object_unreadable", error=error.message)
    return decoded


def decode_changes(events: list[Any], era: int) -> list[Change]:
    """Return the readable changes of a watch; log and skip other events."""
    decoded = []
    for event in events:
        try:
            stored = decode_object(event["object"], era)
            decoded.append(Change(stored, bool(event.get("deleted"))))
        except (KeyError, TypeError, AttributeError) as error:
            log_event("change_unreadable", error=repr(error))
        except PlatformUnavailableError as error:
            log_event("change_unreadable", error=error.message)
    return decoded


def decode_object(item: Any, era: int, name: str = "") -> StoredObject:
    """Return an object as the store sent it.

    Raises
    ------
    PlatformUnavailableError
        If it is malformed.
    """
    try:
        metadata = item["metadata"]
        return StoredObject(
            metadata.get("name", name),
            Revision(era, int(metadata["revision"])),
            item.get("spec"),
            item.get("status"),
            int(metadata.get("created") or 0),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise PlatformUnavailableError(
            f"the store sent a malformed object: {error!r}"
        ) from None
