"""Exchange of evidence about moves between routers.

Each router sends its totals to the aggregators of its zone, which publish the sum of
the zone. Only these sums cross zones.
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

BYTES_PER_S = 2500.0  # budget of a router within its zone, and again between zones
ZONE_COPIES = 4  # of each zone's sum, sent and received by a router
SEND_COUNT = 3  # sends of unchanged totals, as a datagram may be lost
BACKUP_DELAY = timedelta(seconds=5)  # per rank, before an aggregator stands in


class EvidenceExchange:
    """Sends this router's evidence and sums that of all routers.

    Parameters
    ----------
    name, zone : str
        This router.
    clock : Clock
        Source of time.
    view : FleetView
        Holds the evidence of other routers.
    gossiper : Gossiper
        Sends and publishes evidence.
    duties : Duties
        Selects the aggregators of the zone.
    recorder : EvidenceRecorder
        Holds the evidence of this router's traffic.
    """

    __slots__ = (
        "_clock",
        "_duties",
        "_gossiper",
        "_merged_sequence_by_origin",
        "_name",
        "_own_send_due",
        "_recipients",
        "_recorder",
        "_sends_left",
        "_view",
        "_zone",
        "_zone_evidence",
        "_zone_publish_due",
        "_zone_received_at",
        "_zone_sum",
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
        self._own_send_due = self._zone_publish_due = self._zone_received_at = (
            clock.monotonic()
        )
        self._recipients: list[str] = []
        self._sends_left = 0
        self._zone_sum = EvidenceSum(decode_evidence)
        self._zone_evidence = ZoneEvidence()
        self._merged_sequence_by_origin: dict[str, tuple[int, int]] = {}

    def set_moves(self, move_number_by_service: dict[str, int]) -> None:
        """Collect evidence of these moves only and discard that of others."""
        if move_number_by_service == self._recorder.move_number_by_service:
            return
        self._recorder.set_moves(move_number_by_service)
        move_numbers = set(move_number_by_service.values())
        self._zone_sum.retain_moves(move_numbers)
        self._zone_evidence.retain_moves(move_numbers)

    def of_move(self, move_number: int) -> Evidence:
        """Return the evidence of a move that is known from all zones so far."""
        return self._zone_evidence.of_move(move_number)

    def exchange(self) -> None:
        """Merge received evidence; send and publish evidence that is due."""
        now = self._clock.monotonic()
        self._merge_zone_evidence(now)
        received_entries = self._view.entries(Topic.EVIDENCE)
        others = [item for item in received_entries if item.origin != self._name]
        for entry, error in self._zone_sum.merge_entries(others):
            _log_unreadable(entry, error)
        own = self._recorder.cell_by_key
        self._zone_evidence.merge_totals(self._zone, self._zone_sum.sum_with(own))
        aggregators = self._duties.zone_aggregators()
        if self._name in aggregators:
            self._publish_zone_sum(aggregators.index(self._name), now)
        recipients = [name for name in aggregators if name != self._name]
        self._send_own(recipients, now)

    def _merge_zone_evidence(self, now: timedelta) -> None:
        for entry in self._view.entries(Topic.ZONE_EVIDENCE):
            sequence = (entry.incarnation, entry.sequence)
            if self._merged_sequence_by_origin.get(entry.origin) == sequence:
                continue
            self._merged_sequence_by_origin[entry.origin] = sequence
            try:
                zone, evidence = decode_zone_evidence(entry.value)
            except WireError as error:
                _log_unreadable(entry, error)
                continue
            self._zone_evidence.merge_totals(zone, evidence)
            if zone == self._zone and entry.origin != self._name:
                self._zone_received_at = now

    def _publish_zone_sum(self, rank: int, now: timedelta) -> None:
        """Publish the sum of the zone.

        An aggregator publishes only if those of a better rank stopped doing so.
        """
        evidence = self._zone_evidence.of_zone(self._zone)
        is_covered = now < self._zone_received_at + rank * BACKUP_DELAY
        if not evidence or is_covered or now < self._zone_publish_due:
            return
        value = encode_evidence(evidence, self._zone)
        if self._gossiper.publish(Topic.ZONE_EVIDENCE, value):
            zones = {item.zone for item in self._gossiper.live_members().values()}
            sent_bytes = len(value) * len(zones) * ZONE_COPIES
            self._zone_publish_due = now + timedelta(seconds=sent_bytes / BYTES_PER_S)

    def _send_own(self, recipients: list[str], now: timedelta) -> None:
        if self._recorder.is_changed or recipients != self._recipients:
            self._sends_left = SEND_COUNT
        is_due = self._recorder.cell_by_key and now >= self._own_send_due
        if not recipients or not is_due or not self._sends_left:
            return
        self._recipients = recipients
        self._sends_left -= 1
        self._recorder.is_changed = False
        value = encode_evidence(self._recorder.cell_by_key)
        self._gossiper.send_to(recipients, Topic.EVIDENCE, value)
        # An aggregator receives as much from each router of its zone.
        received_bytes = len(value) * len(self._duties.zone_members())
        self._own_send_due = now + timedelta(seconds=received_bytes / BYTES_PER_S)


def _log_unreadable(entry: Entry, error: WireError) -> None:
    """Log evidence that can't be decoded; that of other routers still counts."""
    log_event("unreadable_evidence", router=entry.origin, error=error.message)
