from __future__ import annotations

from banyansail.gateway.log_rate_limit import MAX_LINES_PER_S, LogRateLimit
from tests.fakes import FakeClock


def test_lines_are_rate_limited_and_suppressed_ones_counted():
    clock = FakeClock()
    limit = LogRateLimit(clock)
    written = sum(limit.allow() for _ in range(MAX_LINES_PER_S * 3))
    assert written == MAX_LINES_PER_S
    clock.advance(1)
    assert limit.allow()
    assert limit.pop_suppressed_count() == MAX_LINES_PER_S * 2
    assert limit.pop_suppressed_count() == 0
