"""Codec of what routers tell each other about changes in the store."""

from __future__ import annotations

import json
from datetime import timedelta
from typing import Any

from banyansail.exceptions import WireError
from banyansail.platform.store_objects import Revision, StoredObject
from banyansail.wire.call_types import KindChanges

MILLISECOND = timedelta(milliseconds=1)
MAX_MS = 2**32 - 1


def to_ms(duration: timedelta) -> int:
    """Return a duration in milliseconds, within what a field holds."""
    return max(0, min(MAX_MS, duration // MILLISECOND))


def known_fields(kind: str, revision: Revision | None) -> dict[str, Any]:
    """Return the fields of a kind whose revision the caller knows."""
    if revision is None:
        return {"kind": kind, "isKnown": False}
    era, number = revision.era, revision.number
    return {"kind": kind, "isKnown": True, "era": era, "number": number}


def decode_known(item: Any) -> Revision | None:
    """Return the revision of a kind that the caller knows; ``None`` for none."""
    return Revision(item.era, item.number) if item.isKnown else None


def changes_fields(changes: KindChanges) -> dict[str, Any]:
    """Return the fields of the changes of one kind."""
    return {
        "kind": changes.kind,
        "era": changes.revision.era,
        "number": changes.revision.number,
        "isComplete": changes.is_complete,
        "objects": [_encode_object(stored) for stored in changes.objects],
        "deleted": list(changes.deleted),
        "lapsed": list(changes.lapsed),
        "ageMs": to_ms(changes.age),
    }


def decode_changes(item: Any) -> KindChanges:
    """Decode the changes of one kind."""
    return KindChanges(
        item.kind,
        Revision(item.era, item.number),
        item.isComplete,
        tuple(_decode_object(text, item.era) for text in item.objects),
        tuple(item.deleted),
        tuple(item.lapsed),
        item.ageMs * MILLISECOND,
    )


def _encode_object(stored: StoredObject) -> str:
    fields = {
        "name": stored.name,
        "revision": stored.revision.number,
        "created": stored.created_revision,
        "spec": stored.spec,
        "status": stored.status,
    }
    return json.dumps(fields)


def _decode_object(text: str, era: int) -> StoredObject:
    try:
        fields = json.loads(text)
        return StoredObject(
            fields["name"],
            Revision(era, int(fields["revision"])),
            fields["spec"],
            fields["status"],
            int(fields["created"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise WireError(f"not an object of the store: {error!r}") from None
