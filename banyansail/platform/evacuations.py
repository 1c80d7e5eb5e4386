"""Decoding of the platform's evacuations: entries that are named after data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from banyansail.platform.store_objects import Revision, StoredObject

EVACUATIONS_KIND = "evacuations"


def decode_evacuations(
    object_by_name: Mapping[str, StoredObject],
) -> dict[str, Revision]:
    """Return the revision of the entry of each data centre that is evacuated.

    The content of an entry says nothing, so an entry with any content counts.
    """
    return {name: stored.revision for name, stored in object_by_name.items()}
