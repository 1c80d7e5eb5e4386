"""Counts that a router passes on as it stops."""

from __future__ import annotations

from datetime import timedelta

from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.duties.usage import SteadyTime, UsageCounter
from banyansail.gateway.duties.usage_exchange import UsageExchange
from banyansail.wire.traffic_codec import encode_usage
from tests.fakes import FakeClock


class Link:
    """Keeps what is sent."""

    def __init__(self):
        self.sent: list[bytes] = []

    def send_value(self, names, topic, value):
        assert list(names) == ["next"]
        self.sent.append(value)


class Fleet:
    def fleet_size(self):
        return 2

    def duty_holders(self):
        return ()


class Reporter:
    def candidates(self):
        return ["next"]


def exchange(name, clock):
    usage = UsageCounter(SteadyTime(clock), timedelta(seconds=5))
    return UsageExchange(name, clock, Link(), usage, Fleet(), Reporter()), usage


def entry(origin, value):
    return Entry(origin, 1, Topic.USAGE, 1, value)


def test_counts_of_processes_that_ended_outlive_the_routers_that_heard_them():
    """Guards against reports that lack processes which ended before their holder."""
    clock = FakeClock()
    stopping, usage = exchange("second", clock)
    window = usage.current_window()
    first = encode_usage({window: {"w": 7}})
    stopping.apply_entry(entry("first", first))
    clock.advance(3)
    usage.count("w")
    stopping.send_last()
    following, known = exchange("next", clock)
    (value,) = stopping._link.sent
    following.apply_entry(entry("second", value))
    following.apply_entry(entry("second", value))  # a copy changes nothing
    assert known.total(window, ["w"]) == {"w": 8}


def test_what_a_process_sent_itself_goes_before_what_others_heard():
    clock = FakeClock()
    following, known = exchange("next", clock)
    window = known.current_window()
    following.apply_entry(entry("first", encode_usage({window: {"w": 9}})))
    heard = encode_usage({}, {"first.1": {window: {"w": 7}}})
    following.apply_entry(entry("second", heard))
    assert known.total(window, ["w"]) == {"w": 9}
