"""Ids that a connection keeps, and for how long."""

from __future__ import annotations

from banyansail.upstreams.answered_ids import MAX_IDS, AnsweredIds


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
