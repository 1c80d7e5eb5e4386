from __future__ import annotations

from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.mirror import Mirror
from banyansail.gateway.upstream_table import UpstreamTable
from banyansail.platform.store import Change
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
    """A store whose next watch answers with what the test says."""

    changes: tuple = ()

    async def watch(self, kind, since):
        self._check_reachable()
        return self.revision, list(self.changes)


def cut_off_and_back(gone):
    """Return a table whose router was cut off while some upstreams left."""
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
    store.changes = tuple(Change(objects[name], True) for name in gone)
    run_now(mirror.follow())
    return table, clock


def usable(table):
    return {item.id for item in table.upstreams() if not item.is_leaving}


def test_one_that_left_while_the_router_was_cut_off_gets_no_new_work():
    table, _ = cut_off_and_back(["u1"])
    assert usable(table) == {"u0", "u2", "u3", "u4"}


def test_those_that_an_outage_of_the_store_made_lapse_are_used_until_they_are_back():
    table, clock = cut_off_and_back([f"u{number}" for number in range(5)])
    assert len(usable(table)) == 5
    clock.advance(3)
    table.mirror.drop_lapsed()
    assert usable(table) == set()


def test_a_doubtful_one_is_not_told_to_be_leaving_for_good():
    table, _ = cut_off_and_back(["u1"])
    before = table.own_marks([])
    assert table.own_marks(table.upstreams()) == before
