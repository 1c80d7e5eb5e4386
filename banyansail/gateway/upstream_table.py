"""Upstreams in force: their entries in the store and leaving marks of all routers."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.platform.site import decode_upstream
from banyansail.platform.store import StoredObject
from banyansail.wire.call_codec import Document
from banyansail.wire.gossip_codec import decode_leaving, encode_leaving

if TYPE_CHECKING:
    from banyansail.fleet.entries import Entry
    from banyansail.gateway.mirror import Mirror
    from banyansail.gateway.upstream import Upstream

DOCUMENT = "upstreams"


class UpstreamTable:
    """Upstreams as this router knows them.

    Parameters
    ----------
    mirror : Mirror
        Entries of the upstreams.
    """

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self._leaving_marks: set[str] = set()
        self._is_leaving_by_id: dict[str, bool] = {}  # as was logged

    def upstreams(self) -> list[Upstream]:
        """Return the upstreams; entries that can't be read name none."""
        found = []
        for stored in self.mirror.object_by_name.values():
            try:
                found.append(decode_upstream(stored.name, stored.spec))
            except WireError as error:
                log_event("upstream_unreadable", error=error.message)
        doubtful = self._doubtful(found)
        return [self._with_mark(upstream, doubtful) for upstream in found]

    def log_changes(self, upstreams: list[Upstream]) -> None:
        """Log which upstreams are new, leave or are gone since the last call."""
        before = self._is_leaving_by_id
        now = {upstream.id: upstream.is_leaving for upstream in upstreams}
        if now == before:
            return
        self._is_leaving_by_id = now
        log_event(
            "upstreams_changed",
            added=sorted(now.keys() - before.keys()),
            leaving=sorted(
                name for name, leaves in now.items() if leaves and not before.get(name)
            ),
            gone=sorted(before.keys() - now.keys()),
        )

    def own_marks(self, upstreams: list[Upstream]) -> bytes:
        """Return the encoded marks of those that leave."""
        marks = {
            _mark_of(upstream): timedelta(0)
            for upstream in upstreams
            if upstream.is_leaving and upstream.id not in self.mirror.lapsed_names
        }
        self._leaving_marks |= marks.keys()
        return encode_leaving(marks)

    def take_marks(self, entry: Entry) -> bool:
        """Take in another router's marks; return whether any was news."""
        try:
            marks = decode_leaving(entry.value).keys()
        except WireError as error:
            log_event("marks_unreadable", origin=entry.origin, error=error.message)
            return False
        if not marks - self._leaving_marks:
            return False
        log_event("leaving_heard", origin=entry.origin, upstreams=sorted(marks))
        self._leaving_marks |= marks
        return True

    def document(self) -> Document | None:
        """Return the entries for a router that the store does not reach."""
        if self.mirror.revision is None:
            return None
        objects = self.mirror.object_by_name.values()
        specs = {stored.name: stored.spec for stored in objects}
        return Document(self.mirror.revision, json.dumps(specs))

    def seed(self, document: Document, source: str) -> None:
        """Take another router's entries until the store is reached."""
        if self.mirror.object_by_name:
            return
        specs = json.loads(document.text)
        log_event("upstreams_from_peer", peer=source, count=len(specs))
        self.mirror.seed([StoredObject(name, 0, spec) for name, spec in specs.items()])

    def _doubtful(self, upstreams: list[Upstream]) -> set[str]:
        """Return those that are gone from the store while most of their service stay.

        If most are gone, the store has lost them in an outage and they may come back.
        """
        gone = self.mirror.lapsed_names
        doubtful = set()
        for service in {item.service for item in upstreams if item.id in gone}:
            names = {item.id for item in upstreams if item.service == service}
            if len(names & gone) * 2 < len(names):
                doubtful |= names & gone
        return doubtful

    def _with_mark(self, upstream: Upstream, doubtful: set[str]) -> Upstream:
        """Take an upstream for leaving once any router has heard that it is."""
        is_marked = _mark_of(upstream) in self._leaving_marks
        if upstream.is_leaving or not (is_marked or upstream.id in doubtful):
            return upstream
        return replace(upstream, is_leaving=True)


def _mark_of(upstream: Upstream) -> str:
    """Return the name of one start of an upstream in leaving marks."""
    return f"{upstream.id}@{upstream.started_at}"
