"""Ids that a connection keeps, and for how long."""

from __future__ import annotations

import tracemalloc

from banyansail.upstreams.answered_ids import MAX_IDS, AnsweredIds

MAX_BYTES = 16 * 1024


def test_ids_that_may_be_sent_again_are_kept_and_of_successes_the_last_one():
    ids = AnsweredIds()
    ids.add("refused", is_success=False)
    ids.add("first", is_success=True)
    ids.add("second", is_success=True)
    found = [name for name in ("refused", "first", "second", "new") if name in ids]
    assert found == ["refused", "second"]


def test_requests_without_an_id_are_not_taken_for_one_another():
    ids = AnsweredIds()
    ids.add("", is_success=False)
    assert "" not in ids


def test_no_more_ids_are_kept_than_the_limit():
    """Guards against memory that grows with the requests of a connection."""
    ids = AnsweredIds()
    for number in range(MAX_IDS - 1):
        ids.add(f"a{number}", is_success=False)
    assert not ids.is_full
    for number in range(MAX_IDS, 2 * MAX_IDS):
        ids.add(f"a{number}", is_success=False)
    assert ids.is_full
    ids.add("last", is_success=True)
    kept = [number for number in range(2 * MAX_IDS) if f"a{number}" in ids]
    assert len(kept) == MAX_IDS


def test_long_ids_take_no_more_memory_than_short_ones():
    """Guards against memory that callers fill with ids of their choice."""
    ids = AnsweredIds()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(MAX_IDS):
            ids.add(f"{number}" * 10_000, is_success=False)
        used = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used < MAX_BYTES
