"""Usual times of answers, by which a version several times slower is recognised."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

SLOW_FACTOR = 3  # times the usual time; sizes of requests differ less
TIME_WEIGHT = 0.1  # of a new answer in the average
MIN_ANSWERS = 5  # before answers are compared

RouteKey = tuple[str, str]  # service, name of the route


@dataclass(slots=True)
class _Average:
    """Average of the logarithm of times, which single slow answers hardly change."""

    log_seconds: float
    count: int


class AnswerTimes:
    """Average times of complete answers by service and route.

    A latency objective says little about a version: an answer several times slower than
    usual may still meet it.
    """

    __slots__ = ("_average_by_key",)

    def __init__(self) -> None:
        self._average_by_key: dict[RouteKey, _Average] = {}

    def record(self, key: RouteKey, duration: timedelta) -> None:
        """Include an answer in the usual time."""
        value = _log_seconds(duration)
        average = self._average_by_key.get(key)
        if average is None:
            self._average_by_key[key] = _Average(value, 1)
            return
        average.count += 1
        weight = max(TIME_WEIGHT, 1 / average.count)
        average.log_seconds += (value - average.log_seconds) * weight

    def is_slow(self, key: RouteKey, duration: timedelta) -> bool:
        """Return whether an answer took several times the usual time."""
        average = self._average_by_key.get(key)
        if average is None or average.count < MIN_ANSWERS:
            return False
        limit = average.log_seconds + math.log(SLOW_FACTOR)
        return _log_seconds(duration) > limit


def _log_seconds(duration: timedelta) -> float:
    return math.log(max(duration.total_seconds(), 0.001))
