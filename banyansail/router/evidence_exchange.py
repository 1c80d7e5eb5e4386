"""Evidence of moves: sent to a few routers that add up a zone, and heard of all zones.

Each router sends its totals to the aggregators of its zone. These publish the sum of
the zone, which is what crosses zones.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.fleet.entries import Entry, Topic
from banyansail.log import log_event
from banyansail.rollout.evidence_sum import EvidenceSum
from banyansail.rollout.zone_evidence import ZoneEvidence
from banyansail.wire.gossip_codec import (
    decode_evidence,
    decode_zone_evidence,
    encode_evidence,
)

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.fleet.duties import Duties
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.fleet.view import FleetView
    from banyansail.rollout.evidence import Evidence, EvidenceRecorder

BYTES_PER_S = 2500.0  # what a router spends on each of the two steps
ZONE_COPIES = 4  # of each zone's sum, sent and received by a router
SENDS = 3  # of totals that do not change, as a datagram may be lost
BACKUP_WAIT = timedelta(seconds=5)


class EvidenceExchange:
    """Tells other routers what this one's traffic showed, and adds up what they tell.

    Parameters
    ----------
    name, zone : str
        This router.
    clock : Clock
        Source of time.
    view : FleetView
        Holds the evidence of other routers.
    gossiper : Gossiper
        Sends and publishes.
    duties : Duties
        Says which routers add up the zone.
    recorder : EvidenceRecorder
        Counts this router's traffic.
    """

    __slots__ = (
        "_clock",
        "_duties",
        "_gossiper",
        "_name",
        "_own_due",
        "_receivers",
        "_recorder",
        "_sends_left",
        "_version_by_origin",
        "_view",
        "_zone",
        "_zone_due",
        "_zone_heard_at",
        "_zone_sum",
        "_zones",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        clock: Clock,
        view: FleetView,
        gossiper: Gossiper,
        duties: Duties,
        recorder: EvidenceRecorder,
    ) -> None:
        self._name = name
        self._zone = zone
        self._clock = clock
        self._view = view
        self._gossiper = gossiper
        self._duties = duties
        self._recorder = recorder
        self._own_due = self._zone_due = self._zone_heard_at = clock.monotonic()
        self._receivers: list[str] = []
        self._sends_left = 0
        self._zone_sum = EvidenceSum(decode_evidence)
        self._zones = ZoneEvidence()
        self._version_by_origin: dict[str, tuple[int, int]] = {}

    def watch(self, move_by_service: dict[str, int]) -> None:
        """Keep evidence for these moves and forget that of others."""
        if move_by_service == self._recorder.move_number_by_service:
            return
        self._recorder.set_moves(move_by_service)
        moves = set(move_by_service.values())
        self._zone_sum.retain_moves(moves)
        self._zones.retain_moves(moves)

    def of_move(self, move: int) -> Evidence:
        """Return the fleet's evidence of a move, as far as it was heard of."""
        return self._zones.of_move(move)

    def exchange(self) -> None:
        """Take in what was heard, and tell what is due."""
        now = self._clock.monotonic()
        self._take_zones(now)
        heard = self._view.entries(Topic.EVIDENCE)
        others = [item for item in heard if item.origin != self._name]
        for entry, error in self._zone_sum.merge_entries(others):
            _log_unreadable(entry, error)
        own = self._recorder.cell_by_key
        self._zones.merge_totals(self._zone, self._zone_sum.sum_with(own))
        aggregators = self._duties.zone_aggregators()
        if self._name in aggregators:
            self._publish_zone(aggregators.index(self._name), now)
        receivers = [name for name in aggregators if name != self._name]
        self._send_own(receivers, now)

    def _take_zones(self, now: timedelta) -> None:
        for entry in self._view.entries(Topic.ZONE_EVIDENCE):
            version = (entry.incarnation, entry.sequence)
            if self._version_by_origin.get(entry.origin) == version:
                continue
            self._version_by_origin[entry.origin] = version
            try:
                zone, evidence = decode_zone_evidence(entry.value)
            except WireError as error:
                _log_unreadable(entry, error)
                continue
            self._zones.merge_totals(zone, evidence)
            if zone == self._zone and entry.origin != self._name:
                self._zone_heard_at = now

    def _publish_zone(self, rank: int, now: timedelta) -> None:
        """Publish the sum of the zone; a later rank only if those before it do not."""
        evidence = self._zones.of_zone(self._zone)
        is_relieved = now < self._zone_heard_at + rank * BACKUP_WAIT
        if not evidence or is_relieved or now < self._zone_due:
            return
        value = encode_evidence(evidence, self._zone)
        if self._gossiper.publish(Topic.ZONE_EVIDENCE, value):
            zones = {item.zone for item in self._gossiper.live_members().values()}
            spent = len(value) * len(zones) * ZONE_COPIES
            self._zone_due = now + timedelta(seconds=spent / BYTES_PER_S)

    def _send_own(self, receivers: list[str], now: timedelta) -> None:
        if self._recorder.is_changed or receivers != self._receivers:
            self._sends_left = SENDS
        is_due = self._recorder.cell_by_key and now >= self._own_due
        if not receivers or not is_due or not self._sends_left:
            return
        self._receivers = receivers
        self._sends_left -= 1
        self._recorder.is_changed = False
        value = encode_evidence(self._recorder.cell_by_key)
        self._gossiper.send_to(receivers, Topic.EVIDENCE, value)
        received = len(value) * len(self._duties.zone_members())
        self._own_due = now + timedelta(seconds=received / BYTES_PER_S)


def _log_unreadable(entry: Entry, error: WireError) -> None:
    """Note evidence that can't be decoded; that of other routers still counts."""
    log_event("unreadable_evidence", router=entry.origin, error=error.message)
