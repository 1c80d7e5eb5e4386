"""Which data centres are evacuated, by the store and by what other routers tell."""

from __future__ import annotations

from datetime import UTC, datetime

import pytest

from banyansail.config.fields import Address
from banyansail.fleet.entries import EvacuationMark, Member
from banyansail.gateway.store.evacuations import MAX_MARKS, Evacuations
from banyansail.gateway.store.mirror import Mirror
from banyansail.platform.evacuations import EVACUATIONS_KIND, decode_evacuations
from banyansail.platform.store_objects import Revision
from banyansail.wire.gossip_codec import decode_member, encode_member
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore


class Router:
    """Evacuations of one router, which lists a store and hears of others."""

    def __init__(self, store=None):
        self.changes = 0
        self.evacuations = Evacuations(self.count_change)
        self.mirror = Mirror(
            EVACUATIONS_KIND,
            store,
            FakeClock(),
            lambda mirror: self.evacuations.apply_store(
                decode_evacuations(mirror.object_by_name), mirror.revision
            ),
            remembers_deleted=False,
        )

    def count_change(self):
        self.changes += 1

    @property
    def zones(self):
        return self.evacuations.zones

    def list_store(self):
        self.mirror.revision = None
        run_now(self.mirror.follow())

    def hear(self, other, is_ready=True):
        """Apply the member entry of another router, as it is sent."""
        sent = member(other.evacuations.marks(), is_ready=is_ready)
        self.evacuations.merge(decode_member(encode_member(sent)), "other")


def member(marks, is_ready=True):
    since = datetime.fromtimestamp(0, UTC)
    peer = Address("10.0.0.1", 1)
    return Member("z", "r", peer, 1, since, is_ready, False, evacuations=marks)


@pytest.fixture
def store():
    return FakeStore()


def put(store, zone="leeds"):
    run_now(store.create(EVACUATIONS_KIND, zone, {}))


def delete(store, zone="leeds"):
    run_now(store.delete(EVACUATIONS_KIND, zone))
    store.revision += 1


def test_a_router_follows_the_others_where_the_store_is_slow(store):
    first, slow = Router(store), Router(store)
    slow.list_store()
    put(store)
    first.list_store()
    slow.hear(first)
    assert slow.zones == {"leeds"}
    delete(store)
    first.list_store()
    slow.hear(first)
    assert slow.zones == set()


def test_old_news_of_a_router_does_not_bring_an_evacuation_back(store):
    """Guards against a router that was cut off and comes back with an old mark."""
    cut_off, other = Router(store), Router(store)
    put(store)
    cut_off.list_store()
    other.list_store()
    delete(store)
    other.list_store()
    changes = other.changes
    other.hear(cut_off)
    assert other.zones == set()
    assert other.changes == changes
    cut_off.hear(other)
    assert cut_off.zones == set()


def test_a_list_without_an_entry_overrules_an_older_mark_of_a_router(store):
    router, restarted = Router(store), Router(store)
    put(store)
    router.list_store()
    delete(store)
    restarted.list_store()
    restarted.hear(router)
    assert restarted.zones == set()
    router.hear(restarted)
    assert router.zones == set()


def test_an_evacuation_ordered_again_is_in_force(store):
    router = Router(store)
    put(store)
    router.list_store()
    delete(store)
    router.list_store()
    put(store)
    router.list_store()
    assert router.zones == {"leeds"}


def test_an_evacuation_that_a_copy_lacks_ends_with_the_list_of_the_new_era(store):
    router = Router(store)
    copy = store.copy()
    put(store)
    router.list_store()
    store.restore(copy)
    router.mirror.reset()
    assert router.zones == {"leeds"}
    router.list_store()
    assert router.zones == set()


def test_an_evacuation_that_a_copy_has_again_is_in_force_at_all_routers(store):
    """Guards against routers that differ because only some saw the entry removed."""
    router, fresh = Router(store), Router(store)
    put(store)
    router.list_store()
    copy = store.copy()
    delete(store)
    router.list_store()
    store.restore(copy)
    router.mirror.reset()
    router.list_store()
    fresh.list_store()
    assert router.zones == fresh.zones == {"leeds"}


def test_a_list_of_an_old_era_does_not_end_a_mark_of_the_new_one():
    router = Router()
    router.evacuations.apply_store({}, Revision(1, 500))
    mark = EvacuationMark("leeds", 2, 30, is_in_force=True)
    router.evacuations.merge(member((mark,)), "other")
    assert router.zones == {"leeds"}


def test_a_restarted_router_knows_the_evacuations_from_its_list(store):
    router = Router(store)
    assert not router.evacuations.is_known
    router.list_store()
    assert router.evacuations.is_known
    assert router.changes == 1


def test_a_restarted_router_knows_the_evacuations_from_a_router_that_serves(store):
    """Guards against routers restarted together that trust each other's ignorance."""
    router, other = Router(), Router(store)
    router.hear(other, is_ready=False)
    assert not router.evacuations.is_known
    put(store)
    other.list_store()
    router.hear(other)
    assert router.evacuations.is_known
    assert router.zones == {"leeds"}


def test_a_store_without_changes_causes_no_new_marks(store):
    """Guards against member entries that differ with each watch of the store."""
    router = Router(store)
    put(store)
    put(store, "york")
    router.list_store()
    delete(store)
    router.list_store()
    marks, changes = router.evacuations.marks(), router.changes
    store.revision += 10
    router.list_store()
    assert router.evacuations.marks() == marks
    assert router.changes == changes


def test_ends_are_forgotten_but_no_evacuation_in_force():
    router = Router()
    for number in range(3 * MAX_MARKS):
        mark = EvacuationMark(f"z{number}", 1, number, is_in_force=number % 3 == 0)
        router.evacuations.merge(member((mark,)), "other")
    assert len(router.zones) == MAX_MARKS
    assert len(router.evacuations.marks()) <= MAX_MARKS + 1
