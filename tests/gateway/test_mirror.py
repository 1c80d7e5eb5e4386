"""A mirror of the store against the store itself, over losses of history and calls."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.exceptions import HistoryLostError, PlatformUnavailableError
from banyansail.gateway.mirror import RETURN_GRACE, Mirror
from banyansail.platform.store import Change, StoredObject
from tests.fakes import FakeClock, run_now


class ChangingStore:
    """Objects of one kind with their history, which may be forgotten."""

    def __init__(self):
        self.revision = 0
        self.object_by_name: dict[str, StoredObject] = {}
        self.history: list[tuple[int, Change]] = []
        self.kept_from = 0
        self.is_down = False

    def put(self, name):
        self.revision += 1
        stored = StoredObject(name, self.revision, {"n": self.revision})
        self.object_by_name[name] = stored
        self.history.append((self.revision, Change(stored, False)))

    def delete(self, name):
        if name in self.object_by_name:
            self.revision += 1
            gone = self.object_by_name.pop(name)
            self.history.append((self.revision, Change(gone, True)))

    def forget(self):
        self.kept_from = self.revision

    async def list(self, kind):
        self._reach()
        return self.revision, list(self.object_by_name.values())

    async def watch(self, kind, since):
        self._reach()
        if since < self.kept_from:
            raise HistoryLostError("forgotten")
        return self.revision, [item for at, item in self.history if at > since]

    def _reach(self):
        if self.is_down:
            raise PlatformUnavailableError("down")


def mirror_of(store, clock, **options):
    return Mirror("servers", store, clock, lambda mirror: None, **options)


def follow(mirror):
    try:
        run_now(mirror.follow())
    except PlatformUnavailableError:
        pass  # the supervisor tries again


steps = st.lists(
    st.one_of(
        st.tuples(st.sampled_from(["put", "delete"]), st.sampled_from("abcd")),
        st.tuples(st.sampled_from(["forget", "down", "up", "follow"]), st.just("")),
        st.tuples(st.just("wait"), st.just("")),
    ),
    max_size=40,
)


@settings(derandomize=True, max_examples=300)
@given(steps, st.booleans())
def test_in_the_end_it_holds_what_the_store_holds(sequence, keeps_lapsed):
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, keeps_lapsed=keeps_lapsed)
    for what, name in sequence:
        match what:
            case "put" | "delete":
                getattr(store, what)(name)
            case "forget":
                store.forget()
            case "down" | "up":
                store.is_down = what == "down"
            case "follow":
                follow(mirror)
            case "wait":
                clock.advance(0.7)
    store.is_down = False
    for _ in range(2):  # the first may only learn that the history is gone
        follow(mirror)
    clock.advance(RETURN_GRACE.total_seconds())
    mirror.drop_lapsed()
    assert mirror.object_by_name == store.object_by_name


def test_entries_that_lapse_in_an_outage_are_kept_until_they_may_be_back():
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
    mirror.drop_lapsed()
    assert "a" in mirror.object_by_name


def test_an_entry_that_goes_while_the_store_is_well_is_gone_at_once():
    store, clock = ChangingStore(), FakeClock()
    mirror = mirror_of(store, clock, keeps_lapsed=True)
    store.put("a")
    follow(mirror)
    store.delete("a")
    follow(mirror)
    assert mirror.object_by_name == {}
