"""Table of upstreams, from store entries and the leaving marks of all routers."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.platform.site import decode_upstream
from banyansail.platform.store_objects import Revision, StoredObject
from banyansail.wire.call_types import Document
from banyansail.wire.gossip_codec import decode_leaving, encode_leaving

if TYPE_CHECKING:
    from banyansail.fleet.entries import Entry
    from banyansail.gateway.store.mirror import Mirror
    from banyansail.gateway.upstream import Upstream

UPSTREAMS_DOCUMENT = "upstreams"


class UpstreamTable:
    """Upstreams known to this router.

    Parameters
    ----------
    mirror : Mirror
        Mirror of the upstream entries in the store.
    """

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self._leaving_marks: set[str] = set()
        self._heard_marks: set[str] = set()  # from other routers
        self._published_marks: set[str] = set()
        self._logged_is_leaving_by_id: dict[str, bool] = {}  # at the last log line

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams; log and skip entries that cannot be decoded."""
        upstreams = []
        for stored in self.mirror.object_by_name.values():
            try:
                upstream = decode_upstream(stored.name, stored.spec)
                upstreams.append(replace(upstream, entry_revision=stored.revision))
            except WireError as error:
                log_event("upstream_unreadable", error=error.message)
        presumed_stopped_ids = self._presumed_stopped_ids(upstreams)
        found = [
            self._with_leaving_state(upstream, presumed_stopped_ids)
            for upstream in upstreams
        ]
        self._record_leaving(found)
        return found

    def log_changes(self, upstreams: list[Upstream]) -> None:
        """Log the upstreams added, draining or removed since the last call."""
        previous = self._logged_is_leaving_by_id
        current = {upstream.id: upstream.is_leaving for upstream in upstreams}
        if current == previous:
            return
        self._logged_is_leaving_by_id = current
        log_event(
            "upstreams_changed",
            added=sorted(current.keys() - previous.keys()),
            leaving=sorted(
                name
                for name, is_leaving in current.items()
                if is_leaving and not previous.get(name)
            ),
            gone=sorted(previous.keys() - current.keys()),
        )

    def encode_leaving_marks(self, upstreams: list[Upstream]) -> bytes:
        """Return the encoded leaving marks that this router publishes.

        A mark that was heard from another router before is left to that one, as all
        routers of a large fleet learn of it from the store at the same time.
        """
        marks = {
            mark: timedelta(0)
            for mark in self._record_leaving(upstreams)
            if mark in self._published_marks or mark not in self._heard_marks
        }
        self._published_marks = set(marks)
        return encode_leaving(marks)

    def _record_leaving(self, upstreams: list[Upstream]) -> set[str]:
        """Keep the marks of the draining upstreams, and return them."""
        marks = {
            upstream.incarnation_name
            for upstream in upstreams
            if upstream.is_leaving and upstream.id not in self.mirror.lapsed_names
        }
        self._leaving_marks |= marks
        return marks

    def mark_leaving(self, upstream: Upstream) -> bool:
        """Mark an upstream that said itself that it is draining; return if it is new.

        The mark holds for this incarnation, whatever its entry in the store says.
        """
        mark = upstream.incarnation_name
        if mark in self._leaving_marks:
            return False
        self._leaving_marks.add(mark)
        return True

    def merge_leaving_marks(self, entry: Entry) -> bool:
        """Merge another router's leaving marks; return whether any was new."""
        try:
            marks = decode_leaving(entry.value).keys()
        except WireError as error:
            log_event("marks_unreadable", origin=entry.origin, error=error.message)
            return False
        self._heard_marks |= marks
        if not marks - self._leaving_marks:
            return False
        log_event("leaving_heard", origin=entry.origin, upstreams=sorted(marks))
        self._leaving_marks |= marks
        return True

    def document(self) -> Document | None:
        """Return the entries as a document for routers that cannot reach the store."""
        if self.mirror.revision is None:
            return None
        objects = self.mirror.object_by_name.values()
        specs = {stored.name: stored.spec for stored in objects}
        return Document(self.mirror.revision.number, json.dumps(specs))

    @property
    def needs_seed(self) -> bool:
        """Whether no entry is known, neither from the store nor from a router."""
        return self.mirror.revision is None and not self.mirror.object_by_name

    def seed(self, document: Document, source: str) -> None:
        """Use another router's entries until the store can be reached."""
        if self.mirror.object_by_name:
            return
        unknown = Revision(0, 0)
        try:
            specs = json.loads(document.text)
            objects = [StoredObject(name, unknown, specs[name]) for name in specs]
        except (TypeError, ValueError) as error:
            log_event("document_unreadable", peer=source, error=repr(error))
            return
        log_event("upstreams_from_peer", peer=source, count=len(objects))
        self.mirror.seed(objects)

    def _presumed_stopped_ids(self, upstreams: list[Upstream]) -> set[str]:
        """Return the ids of lapsed upstreams that have probably stopped.

        These are the ones whose service kept most of its upstreams. If half or more of
        a service lapsed, the store probably lost the entries in an outage and they may
        reappear, so the upstreams stay in use.
        """
        lapsed_ids = self.mirror.lapsed_names - self.mirror.missing_names
        presumed_stopped_ids = set()
        for service in {item.service for item in upstreams if item.id in lapsed_ids}:
            service_ids = {item.id for item in upstreams if item.service == service}
            if len(service_ids & lapsed_ids) * 2 < len(service_ids):
                presumed_stopped_ids |= service_ids & lapsed_ids
        return presumed_stopped_ids

    def _with_leaving_state(
        self, upstream: Upstream, presumed_stopped_ids: set[str]
    ) -> Upstream:
        """Return the upstream, as leaving if it is marked or presumed stopped."""
        is_marked = upstream.incarnation_name in self._leaving_marks
        if upstream.is_leaving or not (
            is_marked or upstream.id in presumed_stopped_ids
        ):
            return upstream
        return replace(upstream, is_leaving=True)
