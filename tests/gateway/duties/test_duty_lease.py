from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.duties.duty_lease import DutyLease
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore

LEASE = timedelta(seconds=8)


def lease_of(store, clock, holder):
    """Return a lease of a process that has run for a lease time."""
    lease = DutyLease(store, clock, "duties", holder, LEASE)
    clock.advance(LEASE.total_seconds())
    return lease


def test_a_renewed_lease_is_not_taken_over():
    store, clock = FakeStore(), FakeClock()
    first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    assert run_now(first.acquire()) == 1
    for _ in range(30):
        clock.advance(1)
        assert run_now(second.acquire()) is None
        assert run_now(first.acquire()) == 1


def test_an_expired_lease_is_taken_over_with_a_larger_fencing_token():
    store, clock = FakeStore(), FakeClock()
    first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    run_now(first.acquire())
    assert run_now(second.acquire()) is None
    clock.advance(LEASE.total_seconds())
    assert first.fencing_token() is None
    assert run_now(second.acquire()) == 2


def test_a_released_lease_is_free_at_once():
    store, clock = FakeStore(), FakeClock()
    first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    run_now(first.acquire())
    run_now(first.release())
    assert run_now(second.acquire()) == 2


def test_a_lease_expires_while_the_store_is_down():
    store, clock = FakeStore(), FakeClock()
    lease = lease_of(store, clock, "a")
    run_now(lease.acquire())
    store.is_down = True
    clock.advance(LEASE.total_seconds() * 0.75)
    with pytest.raises(PlatformUnavailableError):
        run_now(lease.acquire())
    assert lease.fencing_token() == 1
    clock.advance(LEASE.total_seconds() * 0.25)
    assert lease.fencing_token() is None


@settings(derandomize=True, max_examples=200)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.floats(0, 5), st.booleans()), max_size=60)
)
def test_fences_of_acts_never_go_back(steps):
    store, clock = FakeStore(), FakeClock()
    leases = [lease_of(store, clock, name) for name in "abc"]
    actions: list[tuple[timedelta, int, int]] = []
    for index, pause, is_down in steps:
        clock.advance(pause)
        store.is_down = is_down
        try:
            run_now(leases[index].acquire())
        except PlatformUnavailableError:
            pass
        fencing_token = leases[index].fencing_token()
        if fencing_token is not None:
            actions.append((clock.monotonic(), fencing_token, index))
    fencing_tokens = [token for _, token, _ in actions]
    assert fencing_tokens == sorted(fencing_tokens)
    holder_by_token = {}
    for _, fencing_token, index in actions:
        assert holder_by_token.setdefault(fencing_token, index) == index


def test_a_former_holder_waits_before_it_acts_again_after_another():
    """Otherwise both act alternately within the minimum time between two holders."""
    store, clock = FakeStore(), FakeClock()
    first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    run_now(first.acquire())
    run_now(second.observe())
    clock.advance(LEASE.total_seconds())
    assert run_now(second.acquire()) == 2
    run_now(second.release())
    assert run_now(first.acquire()) is None
    clock.advance(LEASE.total_seconds())
    assert run_now(first.acquire()) == 3


def test_an_observed_lease_is_taken_over_as_soon_as_it_expires():
    store, clock = FakeStore(), FakeClock()
    first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    run_now(first.acquire())
    run_now(second.observe())
    clock.advance(LEASE.total_seconds())
    assert run_now(second.acquire()) == 2


def test_a_holder_of_a_restored_store_stops_at_once_and_renews_with_a_larger_token():
    store, clock = FakeStore(), FakeClock()
    holder = lease_of(store, clock, "a")
    empty = store.copy()
    old_token = run_now(holder.acquire())
    store.restore(empty)
    holder.invalidate()
    assert holder.fencing_token() is None
    assert run_now(holder.acquire()) > old_token


def test_others_wait_until_a_holder_that_does_not_know_of_the_restore_has_stopped():
    store, clock = FakeStore(), FakeClock()
    first, second = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    empty = store.copy()
    old_token = run_now(first.acquire())
    store.restore(empty)
    second.invalidate()
    while run_now(second.acquire()) is None:
        clock.advance(0.5)
    assert first.fencing_token() is None
    assert second.fencing_token() > old_token


def test_a_process_that_starts_waits_until_a_holder_without_a_record_has_stopped():
    """The store was restored just before, so that it shows no lease."""
    store, clock = FakeStore(), FakeClock()
    holder = lease_of(store, clock, "a")
    empty = store.copy()
    run_now(holder.acquire())
    store.restore(empty)
    started = DutyLease(store, clock, "duties", "c", LEASE)
    while run_now(started.acquire()) is None:
        clock.advance(0.5)
    assert holder.fencing_token() is None


def test_a_process_that_starts_does_not_trust_a_release_from_before_a_restore():
    """Guards against two holders where the copy shows a lease that was free then."""
    store, clock = FakeStore(), FakeClock()
    first, holder = lease_of(store, clock, "a"), lease_of(store, clock, "b")
    run_now(first.acquire())
    run_now(first.release())
    copy = store.copy()
    old_token = run_now(holder.acquire())
    store.restore(copy)
    started = DutyLease(store, clock, "duties", "c", LEASE)
    while (token := run_now(started.acquire())) is None:
        clock.advance(0.5)
    assert holder.fencing_token() is None
    assert token > old_token


def test_a_lease_written_while_the_store_was_restored_is_not_held():
    store, clock = FakeStore(), FakeClock()
    lease = lease_of(store, clock, "a")
    create = store.create

    async def create_after_restore(*args):
        store.restore(store.copy())
        return await create(*args)

    store.create = create_after_restore
    assert run_now(lease.acquire()) is None


@given(st.lists(st.sampled_from(["copy", "restore", "a", "b", "wait"]), max_size=40))
@settings(derandomize=True, max_examples=150)
def test_tokens_never_go_down_or_repeat_over_restores(steps):
    """Two holders act with their tokens whenever they hold the lease."""
    assert not has_wrong_token(steps, knows_eras=True)


def has_wrong_token(steps, *, knows_eras):
    store, clock = FakeStore(), FakeClock()
    leases = {name: lease_of(store, clock, name) for name in "ab"}
    copy = store.copy()
    used: list[tuple[int, str]] = []
    era_of = dict.fromkeys("ab", store.era)
    for step in steps:
        if step == "copy":
            copy = store.copy()
        elif step == "restore":
            store.restore(copy)
            if not knows_eras:
                store.era = 0
        elif step == "wait":
            clock.advance(3)
        else:
            lease = leases[step]
            # The first answer of the store in a new era.
            if knows_eras and era_of[step] != store.era:
                era_of[step] = store.era
                lease.invalidate()
            run_now(lease.acquire())
        for name, lease in leases.items():
            token = lease.fencing_token()
            if token is not None:
                used.append((token, name))
    tokens = [token for token, _ in used]
    is_shared = len(set(used)) > len(set(tokens))
    return tokens != sorted(tokens) or is_shared


def test_tokens_repeat_over_a_restore_if_eras_are_ignored():
    """The check above is one that a lease without eras fails."""
    steps = ["a", "copy", "b", "wait", "wait", "wait", "b", "restore", "a"]
    assert has_wrong_token(steps, knows_eras=False)


def test_the_first_start_of_the_system_waits_for_nobody():
    """Guards against duties that nobody does in the first seconds."""
    store, clock = FakeStore(), FakeClock()
    first, second = (
        DutyLease(store, clock, "duties", holder, LEASE, is_first_start=True)
        for holder in ("a", "b")
    )
    assert run_now(first.acquire()) == 1
    assert run_now(second.acquire()) is None


def test_the_first_start_still_waits_after_the_store_was_restored():
    """Guards against two holders when the store forgets a lease soon after it."""
    store, clock = FakeStore(), FakeClock()
    lease = DutyLease(store, clock, "duties", "a", LEASE, is_first_start=True)
    lease.invalidate()
    assert run_now(lease.acquire()) is None
    clock.advance(LEASE.total_seconds())
    assert run_now(lease.acquire()) == 1
