"""Tests that a mirror converges to the store despite lost history and failed calls."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.exceptions import HistoryLostError, PlatformUnavailableError
from banyansail.gateway.store.mirror import Mirror
from banyansail.gateway.store.outage import RETURN_GRACE
from banyansail.gateway.store.removal_history import MAX_REMOVALS
from banyansail.platform.store_objects import Change, Revision, StoredObject
from tests.fakes import FakeClock, run_now


class ChangingStore:
    """Objects of one kind with their history, which may be compacted."""

    def __init__(self):
        self.revision = 0
        self.era = 0
        self.object_by_name: dict[str, StoredObject] = {}
        self.history: list[tuple[int, Change]] = []
        self.compacted_at = 0
        self.is_down = False

    def put(self, name):
        self.revision += 1
        revision = Revision(self.era, self.revision)
        stored = StoredObject(name, revision, {"n": self.revision})
        self.object_by_name[name] = stored
        self.history.append((self.revision, Change(stored, False)))

    def delete(self, name):
        if name in self.object_by_name:
            self.revision += 1
            deleted = self.object_by_name.pop(name)
            self.history.append((self.revision, Change(deleted, True)))

    def compact(self):
        self.compacted_at = self.revision

    async def list(self, kind):
        self._check_reachable()
        return Revision(self.era, self.revision), list(self.object_by_name.values())

    async def watch(self, kind, since):
        self._check_reachable()
        if since.number < self.compacted_at or since.era != self.era:
            raise HistoryLostError("compacted")
        changes = [item for at, item in self.history if at > since.number]
        return Revision(self.era, self.revision), changes

    def _check_reachable(self):
        if self.is_down:
            raise PlatformUnavailableError("down")


def mirror_of(store, clock, **options):
    return Mirror("servers", store, clock, lambda mirror: None, **options)


def follow(mirror):
    try:
        run_now(mirror.follow())
    except PlatformUnavailableError:
        pass  # in production, the supervisor retries


steps = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["put", "delete"]), st.sampled_from("abcd")),
        st.tuples(st.sampled_from(["compact", "down", "up", "follow"]), st.just("")),
        st.tuples(st.just("wait"), st.just("")),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=300)
@given(steps, st.booleans())
def test_in_the_end_it_holds_what_the_store_holds(sequence, keeps_lapsed):
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, keeps_lapsed=keeps_lapsed)
    for action, name in sequence:
        match action:
            case "put" | "delete":
                getattr(store, action)(name)
            case "compact":
                store.compact()
            case "down" | "up":
                store.is_down = action == "down"
            case "follow":
                follow(mirror)
            case "wait":
                clock.advance(0.7)
    store.is_down = False
    for _ in range(2):  # the first call may only detect that the history was compacted
        follow(mirror)
    clock.advance(RETURN_GRACE.total_seconds())
    mirror.expire_lapsed()
    assert mirror.object_by_name == store.object_by_name


def test_entries_that_expire_in_an_outage_are_kept_until_they_may_return():
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    store.put("a")
    follow(mirror)
    store.is_down = True
    for _ in range(3):
        follow(mirror)
        clock.advance(1)
    store.delete("a")
    store.is_down = False
    follow(mirror)
    assert "a" in mirror.object_by_name
    store.put("a")
    follow(mirror)
    clock.advance(RETURN_GRACE.total_seconds())
    mirror.expire_lapsed()
    assert "a" in mirror.object_by_name


def test_entries_that_expire_in_a_second_outage_are_kept_as_in_the_first():
    """They were removed at once, as the time counted from the end of the first one."""
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    store.put("a")
    for _ in range(2):
        follow(mirror)
        clock.advance(60)
        store.is_down = True
        for _ in range(3):
            follow(mirror)
            clock.advance(1)
        store.is_down = False
    store.delete("a")
    follow(mirror)
    mirror.expire_lapsed()
    assert "a" in mirror.object_by_name


def test_an_entry_that_is_deleted_while_the_store_is_up_is_removed_at_once():
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    store.put("a")
    follow(mirror)
    store.delete("a")
    follow(mirror)
    assert mirror.object_by_name == {}


class RestorableStore(ChangingStore):
    """A changing store that may return to a copy of itself."""

    def copy(self):
        return self.revision, dict(self.object_by_name)

    def restore(self, copy):
        self.era += 1
        self.revision, self.object_by_name = copy[0], dict(copy[1])
        self.history = []


def test_a_revision_that_is_given_out_again_is_not_watched_on():
    store, clock = RestorableStore(), FakeClock()
    copy = store.copy()
    store.put("a")
    mirror = mirror_of(store, clock)
    follow(mirror)
    store.restore(copy)
    store.put("b")  # has the revision that "a" had
    mirror.reset()
    follow(mirror)
    assert set(mirror.object_by_name) == {"b"}
    store.put("c")
    follow(mirror)
    assert set(mirror.object_by_name) == {"b", "c"}


def test_an_entry_that_the_copy_lacks_stays_until_written_again_or_shown_gone():
    store, clock = RestorableStore(), FakeClock()
    store.put("old")
    copy = store.copy()
    for name in ("new", "gone"):
        store.put(name)
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    follow(mirror)
    store.restore(copy)
    mirror.reset()
    follow(mirror)
    assert set(mirror.object_by_name) == {"old", "new", "gone"}
    assert mirror.missing_names == {"new", "gone"}
    store.put("new")
    follow(mirror)
    clock.advance(RETURN_GRACE.total_seconds())
    mirror.expire_lapsed()
    assert set(mirror.object_by_name) == {"old", "new"}
    assert mirror.missing_names == set()


def test_an_entry_that_left_stays_gone_though_the_copy_has_it():
    store, clock = RestorableStore(), FakeClock()
    store.put("a")
    store.put("b")
    copy = store.copy()
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    follow(mirror)
    store.delete("a")
    store.delete("b")
    follow(mirror)
    store.restore(copy)
    mirror.reset()
    follow(mirror)
    assert set(mirror.object_by_name) == set()
    store.compact()
    store.put("b")  # it lives after all
    mirror.revision = None
    follow(mirror)
    assert set(mirror.object_by_name) == {"b"}


def test_two_restores_in_a_row_end_with_the_entries_of_the_second():
    store, clock = RestorableStore(), FakeClock()
    copy = store.copy()
    store.put("a")
    mirror = mirror_of(store, clock)
    for _ in range(2):
        store.restore(copy)
        store.put("b")
        mirror.reset()
    follow(mirror)
    assert set(mirror.object_by_name) == {"b"}


def test_missing_entries_stay_though_a_watch_was_cancelled_at_the_restore():
    """The cancelled watch looks like the beginning of an outage."""
    store, clock = RestorableStore(), FakeClock()
    copy = store.copy()
    store.put("new")
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    follow(mirror)
    store.restore(copy)
    store.is_down = True
    follow(mirror)
    store.is_down = False
    mirror.reset()
    follow(mirror)
    assert set(mirror.object_by_name) == {"new"}


@settings(derandomize=True, max_examples=300)
@given(steps)
def test_a_mirror_that_is_passed_changes_holds_what_the_other_holds(sequence):
    """It may ask at any time, and the other one may have listed again in between."""
    store, clock = ChangingStore(), FakeClock()
    watcher, follower = mirror_of(store, clock), mirror_of(store, clock)
    for action, name in sequence:
        match action:
            case "put" | "delete":
                getattr(store, action)(name)
            case "compact":
                store.compact()
            case "follow":
                follow(watcher)
            case "wait":
                pass_on(watcher, follower, clock)
    for _ in range(2):
        follow(watcher)
    pass_on(watcher, follower, clock)
    assert follower.object_by_name == watcher.object_by_name == store.object_by_name
    assert follower.revision == watcher.revision


def pass_on(watcher, follower, clock):
    changes = watcher.changes_since(follower.revision)
    if changes is not None:
        follower.apply_changes(changes, clock.monotonic() - changes.age)


def test_an_answer_older_than_what_was_passed_on_changes_nothing():
    """A follower's own watch may be answered after a watcher passed on more."""
    store, clock = ChangingStore(), FakeClock()
    watcher, follower = mirror_of(store, clock), mirror_of(store, clock)
    follow(watcher)
    store.put("a")
    follow(watcher)
    old = watcher.changes_since(None)
    store.delete("a")
    follow(watcher)
    pass_on(watcher, follower, clock)
    follower.apply_changes(old, clock.monotonic())
    assert follower.object_by_name == {}


def test_a_list_after_many_deletions_is_passed_on_in_full():
    """A follower from before the list kept what was deleted unseen."""
    store, clock = ChangingStore(), FakeClock()
    watcher, follower = mirror_of(store, clock), mirror_of(store, clock)
    names = [str(number) for number in range(MAX_REMOVALS)]
    for name in [*names, "unseen"]:
        store.put(name)
    follow(watcher)
    for name in names:
        store.delete(name)
    follow(watcher)
    pass_on(watcher, follower, clock)
    assert set(follower.object_by_name) == {"unseen"}
    store.delete("unseen")
    store.compact()
    for _ in range(2):  # the first call only detects that the history was compacted
        follow(watcher)
    pass_on(watcher, follower, clock)
    assert follower.object_by_name == {}


def test_changes_are_minor_only_if_every_one_of_them_is():
    """A draining upstream must not wait for the longer pause after minor changes."""
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, is_minor_change=lambda before, after: True)
    store.put("a")
    follow(mirror)
    assert not mirror.has_minor_changes_only
    store.put("a")
    follow(mirror)
    assert mirror.has_minor_changes_only
    store.put("a")
    store.put("new")
    follow(mirror)
    assert not mirror.has_minor_changes_only
    store.delete("a")
    follow(mirror)
    assert not mirror.has_minor_changes_only
