"""One router's part of the slots of upstreams that bear few rejections.

Routers know each other's load late, so together they may send more than an upstream has
room for. While a service's upstreams are brittle, their slots are divided by rendezvous
hashing instead.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from banyansail.fleet.ranking import rank_names
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence


def divide_slots(
    slots_by_upstream: Mapping[str, int], name: str, routers: Sequence[str]
) -> dict[str, int]:
    """Return the slots that a router may use, by upstream.

    A router that gets no slot of any upstream may use one all the same, since its
    callers would get nothing otherwise.

    Parameters
    ----------
    slots_by_upstream : mapping
        Slots of the brittle upstreams of one service, by the upstream's incarnation.
    name : str
        Name of the router.
    routers : sequence of str
        Routers that take requests, this one included.
    """
    parts = {
        upstream: _part_of(upstream, slots, name, routers)
        for upstream, slots in slots_by_upstream.items()
    }
    if parts and not any(parts.values()):
        parts[min(parts, key=lambda upstream: hash64(f"{name}/{upstream}"))] = 1
    return parts


def _part_of(upstream: str, slots: int, name: str, routers: Sequence[str]) -> int:
    ranked = rank_names(f"slots/{upstream}", routers)
    part, remainder = divmod(slots, len(routers))
    return part + (ranked.index(name) < remainder)
