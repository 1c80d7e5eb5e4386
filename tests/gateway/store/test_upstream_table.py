from __future__ import annotations

from banyansail.exceptions import PlatformUnavailableError
from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.store.mirror import Mirror
from banyansail.gateway.store.upstream_table import UpstreamTable
from banyansail.platform.store_objects import Change, Revision
from banyansail.wire.gossip_codec import decode_leaving
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore

SPEC = {
    "service": "engines",
    "zone": "glasgow",
    "version": "v1",
    "address": "10.0.0.1:80",
    "slots": 4,
    "state": "ready",
    "born": 1,
}


class WatchedStore(FakeStore):
    """A store whose watches return the changes that the test sets."""

    changes: tuple = ()

    async def watch(self, kind, since):
        self._check_reachable()
        return Revision(self.era, self.revision), list(self.changes)


def table_after_partition(deleted_names):
    """Return a table whose router lost the store while some entries were deleted."""
    store, clock = WatchedStore(), FakeClock()
    for number in range(5):
        run_now(store.create("servers", f"u{number}", SPEC))
    mirror = Mirror("servers", store, clock, lambda mirror: None, keeps_lapsed=True)
    table = UpstreamTable(mirror)
    run_now(mirror.follow())
    store.is_down = True
    for _ in range(3):
        try:
            run_now(mirror.follow())
        except PlatformUnavailableError:
            clock.advance(4)
    store.is_down = False
    objects = {item.name: item for item in run_now(store.list("servers"))[1]}
    store.changes = tuple(Change(objects[name], True) for name in deleted_names)
    run_now(mirror.follow())
    return table, clock


def usable_ids(table):
    return {item.id for item in table.upstreams() if not item.is_leaving}


def test_an_upstream_deleted_during_a_partition_gets_no_new_work():
    table, _ = table_after_partition(["u1"])
    assert usable_ids(table) == {"u0", "u2", "u3", "u4"}


def test_upstreams_that_lapsed_in_a_store_outage_stay_in_use_until_they_expire():
    table, clock = table_after_partition([f"u{number}" for number in range(5)])
    assert len(usable_ids(table)) == 5
    clock.advance(3)
    table.mirror.expire_lapsed()
    assert usable_ids(table) == set()


def test_an_upstream_presumed_stopped_is_not_published_as_leaving():
    table, _ = table_after_partition(["u1"])
    before = table.encode_leaving_marks([])
    assert table.encode_leaving_marks(table.upstreams()) == before


def draining_table():
    store, clock = FakeStore(), FakeClock()
    run_now(store.create("servers", "u1", {**SPEC, "state": "draining"}))
    mirror = Mirror("servers", store, clock, lambda mirror: None)
    run_now(mirror.follow())
    return UpstreamTable(mirror)


def test_a_mark_that_another_router_published_is_not_published_again():
    """All routers of a large fleet learn from the store at once that one is leaving."""
    first, second = draining_table(), draining_table()
    published = first.encode_leaving_marks(first.upstreams())
    assert decode_leaving(published)
    second.merge_leaving_marks(Entry("a", 1, Topic.LEAVING, 1, published))
    assert not decode_leaving(second.encode_leaving_marks(second.upstreams()))


def test_a_mark_stays_published_though_others_publish_it_too():
    first, second = draining_table(), draining_table()
    published = first.encode_leaving_marks(first.upstreams())
    second.encode_leaving_marks(second.upstreams())
    second.merge_leaving_marks(Entry("a", 1, Topic.LEAVING, 1, published))
    assert decode_leaving(second.encode_leaving_marks(second.upstreams()))


def test_entries_are_asked_of_other_routers_only_while_none_is_known():
    """Else each router would ask all others again and again while the store is away."""
    store, clock = FakeStore(), FakeClock()
    run_now(store.create("servers", "u1", SPEC))
    mirror = Mirror("servers", store, clock, lambda mirror: None)
    run_now(mirror.follow())
    known = UpstreamTable(mirror)
    started = UpstreamTable(Mirror("servers", store, clock, lambda mirror: None))
    assert started.needs_seed
    started.seed(known.document(), "a")
    assert not started.needs_seed
    mirror.reset()
    assert not known.needs_seed
