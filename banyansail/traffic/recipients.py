"""Receivers of reports and sums: aggregators and relays, by rendezvous hashing."""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.ranking import rank_names
from banyansail.utils import hash64

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from banyansail.clock import Clock
    from banyansail.fleet.entries import Member

AGGREGATORS_PER_ZONE = 2
MAX_SILENT_AGGREGATORS = 3  # that are sent to besides those that answer
SILENT_AFTER = timedelta(seconds=1.5)  # without a report or a sum


def router_key(name: str) -> int:
    """Return the short key by which a sum names a router."""
    return hash64(f"router/{name}")


class Aggregators:
    """Choice of the routers that sum up the traffic of each data centre.

    A router that was chosen and sends no sums is still sent to, in case it returns, but
    others are chosen in its place.

    Parameters
    ----------
    name : str
        Name of this router, which is never silent.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_heard_at", "_name", "_waiting_since")

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._heard_at: dict[str, timedelta] = {}
        self._waiting_since: dict[str, timedelta] = {}  # for a sum

    def record_sum(self, name: str) -> None:
        """Record that a router sent a sum."""
        self._heard_at[name] = self._clock.monotonic()
        self._waiting_since.pop(name, None)

    def choose(self, zone: str, members: Mapping[str, Member]) -> list[str]:
        """Return the aggregators of a data centre, in the order of their rank.

        Parameters
        ----------
        members : mapping
            Live routers of the fleet by name.
        """
        names = [
            name
            for name, member in members.items()
            if member.zone == zone and not member.is_leaving
        ]
        chosen: list[str] = []
        responsive = 0
        for name in rank_names(f"traffic/{zone}", names):
            chosen.append(name)
            responsive += not self._is_silent(name)
            is_full = len(chosen) == AGGREGATORS_PER_ZONE + MAX_SILENT_AGGREGATORS
            if responsive == AGGREGATORS_PER_ZONE or is_full:
                break
        return chosen

    def _is_silent(self, name: str) -> bool:
        if name == self._name:
            return False
        now = self._clock.monotonic()
        heard_at = self._heard_at.get(name)
        if heard_at is not None and now - heard_at <= SILENT_AFTER:
            return False
        return now - self._waiting_since.setdefault(name, now) > SILENT_AFTER


def order_receivers(aggregator: str, names: Iterable[str]) -> list[str]:
    """Return the receivers of an aggregator's sums, those that relay them first."""
    return rank_names(
        f"relay/{aggregator}", [name for name in names if name != aggregator]
    )


def relay_count(receivers: int) -> int:
    """Return to how many receivers an aggregator sends a sum itself.

    These relay it to the others, so that no router sends more than about the square
    root of the number of copies.
    """
    return math.ceil(math.sqrt(receivers))


def relay_targets(receiver_keys: Sequence[int], own_key: int) -> Sequence[int]:
    """Return the keys of the receivers to which this router relays a sum.

    Parameters
    ----------
    receiver_keys : sequence of int
        `router_key` of all receivers, in the order of `order_receivers`.
    """
    relays = relay_count(len(receiver_keys))
    if own_key not in receiver_keys[:relays]:
        return ()
    return receiver_keys[relays + receiver_keys.index(own_key) :: relays]
