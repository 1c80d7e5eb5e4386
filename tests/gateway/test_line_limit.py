from __future__ import annotations

from banyansail.gateway.line_limit import LINES_PER_S, LineLimit
from tests.fakes import FakeClock


def test_lines_are_bounded_and_those_left_out_are_counted():
    clock = FakeClock()
    limit = LineLimit(clock)
    written = sum(limit.take() for _ in range(LINES_PER_S * 3))
    assert written == LINES_PER_S
    clock.advance(1)
    assert limit.take()
    assert limit.take_left_out() == LINES_PER_S * 2
    assert limit.take_left_out() == 0
