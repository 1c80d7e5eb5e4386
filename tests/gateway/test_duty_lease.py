from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.duty_lease import DutyLease
from tests.fakes import FakeClock, run_now
from tests.gateway.fake_store import FakeStore

LEASE = timedelta(seconds=8)


def lease_of(store, clock, holder):
    return DutyLease(store, clock, "duties", holder, LEASE)


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
