"""Which changes of an upstream's entry may be learned late."""

from __future__ import annotations

import pytest

from banyansail.platform.site import differs_in_cold_time_only

ENTRY = {"state": "ready", "slots": 4, "coldLeftMs": 900, "seq": 3}


def test_the_remaining_cold_time_may_be_learned_late():
    """Each upstream that starts counts it down, a call of every watcher each time."""
    assert differs_in_cold_time_only(ENTRY, {**ENTRY, "coldLeftMs": 400, "seq": 4})


@pytest.mark.parametrize(
    "after",
    [
        {**ENTRY, "state": "draining", "coldLeftMs": 400},
        {**ENTRY, "coldLeftMs": 0},
        {key: value for key, value in ENTRY.items() if key != "coldLeftMs"},
        {**ENTRY, "leaves_ms": 2000},
        None,
        [],
    ],
)
def test_all_else_is_learned_at_once(after):
    """An upstream that drains, or becomes warm, is to be used otherwise at once."""
    assert not differs_in_cold_time_only(ENTRY, after)
    assert not differs_in_cold_time_only(after, ENTRY)
