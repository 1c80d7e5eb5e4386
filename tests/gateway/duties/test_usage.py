"""Tests of when the counts of a window are known of all routers."""

from __future__ import annotations

from datetime import timedelta

import pytest

from banyansail.gateway.duties.usage import SteadyTime, UsageCounter
from tests.fakes import FakeClock

WINDOW = timedelta(seconds=5)


class Counting:
    """A counter in its third window, and the number of the window before."""

    def __init__(self):
        self.clock = FakeClock()
        self.usage = UsageCounter(SteadyTime(self.clock), WINDOW)
        self.clock.advance(2 * WINDOW.total_seconds())
        self.last = self.usage.current_window() - 1

    def hear(self, process, *windows):
        counts = {window: {"w": 1} for window in windows}
        self.usage.merge_peer_counts(process, counts)


@pytest.fixture
def counting():
    return Counting()


def test_a_window_is_complete_once_all_counted_in_a_later_one(counting):
    counting.hear("a.1", counting.last, counting.last + 1)
    counting.hear("b.1", counting.last)
    assert not counting.usage.is_complete(counting.last, peers=2)
    counting.hear("b.1", counting.last + 1)
    assert counting.usage.is_complete(counting.last, peers=2)


def test_a_window_is_incomplete_while_a_router_was_not_heard(counting):
    """Guards against reports without a router that counts nothing yet, or is cut."""
    counting.hear("a.1", counting.last, counting.last + 1)
    assert not counting.usage.is_complete(counting.last, peers=2)


def test_a_router_that_was_killed_keeps_its_window_open(counting):
    """Its last counts may be on their way."""
    counting.hear("a.1", counting.last)
    counting.hear("b.1", counting.last, counting.last + 1)
    assert not counting.usage.is_complete(counting.last, peers=1)


def test_a_router_that_was_restarted_does_not_keep_its_window_open(counting):
    """Guards against windows that wait for processes which have ended."""
    counting.hear("a.1", counting.last)
    counting.hear("a.2", counting.last, counting.last + 1)
    assert counting.usage.is_complete(counting.last, peers=1)


def test_a_process_that_ended_before_a_window_does_not_keep_it_open(counting):
    """Guards against windows that wait for a router that was removed."""
    counting.hear("a.1", counting.last - 1)
    counting.hear("a.2", counting.last, counting.last + 1)
    assert counting.usage.is_complete(counting.last, peers=1)


def test_a_window_in_which_the_counter_started_is_not_complete(counting):
    """Guards against a restarted router that reports its own counts alone."""
    fresh = UsageCounter(SteadyTime(counting.clock), WINDOW)
    counting.clock.advance(WINDOW.total_seconds())
    assert not fresh.is_complete(counting.last + 1, peers=0)
    counting.clock.advance(WINDOW.total_seconds())
    assert fresh.is_complete(counting.last + 2, peers=0)


def test_counts_of_ended_processes_are_handed_over(counting):
    """Guards against windows reported without the routers that were restarted in it."""
    counting.hear("a.1", counting.last)
    counting.clock.advance(3)
    counting.hear("a.2", counting.last, counting.last + 1)
    handover = counting.usage.handover()
    assert handover == {"a.1": {str(counting.last): {"w": 1}}}
    other = UsageCounter(SteadyTime(counting.clock), WINDOW)
    other.merge_handover(handover)
    other.merge_handover(handover)  # a second time changes nothing
    assert other.total(counting.last, ["w"]) == {"w": 1}


def test_counts_heard_of_a_process_itself_are_not_replaced(counting):
    """Guards against older counts of a router that was silent and is back."""
    handover = {"a.1": {str(counting.last): {"w": 1}}}
    counting.usage.merge_peer_counts("a.1", {counting.last: {"w": 5}})
    counting.usage.merge_handover(handover)
    assert counting.usage.total(counting.last, ["w"]) == {"w": 5}
