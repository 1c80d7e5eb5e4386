"""Tokens that callers declare, charged to the quota of their workspace."""

from __future__ import annotations

from random import Random

import pytest

from banyansail.exceptions import CallError
from banyansail.gateway.context import quota_cost
from banyansail.gateway.decisions.limits.quota import QuotaLimiter
from banyansail.platform.calls import decode_call
from tests.fakes import FakeClock
from tests.gateway.builders import workspace

RATE, BURST = 1000, 2000
PLAY_S = 10


def ask(limiter, owner, declared):
    """Return the declared tokens of a request if it may run, else 0."""
    try:
        call = decode_call(b"POST", b"/", [(b"X-Token-Count", declared)], b"")
        over = limiter.charge(owner, quota_cost(owner, call))
    except CallError:
        return 0
    return 0 if over else call.prompt.tokens + call.prompt.max_output


@pytest.mark.parametrize("declared", [b"-500", b"0,-500", b"500,-1000"])
def test_a_request_of_negative_tokens_makes_no_room_for_others(declared):
    """Guards against a caller that exceeds its quota (QUOTA)."""
    clock = FakeClock()
    limiter = QuotaLimiter(clock, Random(1))
    owner = workspace(rate=RATE, burst=BURST, counts_tokens=True)
    used = 0
    for _ in range(PLAY_S):
        for _ in range(20):
            used += max(0, ask(limiter, owner, b"500"))
            ask(limiter, owner, declared)
        clock.advance(1)
    assert used <= PLAY_S * RATE + BURST


def test_a_request_larger_than_the_quota_of_a_window_leaves_the_quota_to_others():
    """Guards against one request that exceeds a quota and blocks its workspace."""
    clock = FakeClock()
    limiter = QuotaLimiter(clock, Random(1))
    owner = workspace(rate=RATE, burst=BURST, counts_tokens=True)
    clock.advance(10)
    assert ask(limiter, owner, b"1000000") == 0
    assert ask(limiter, owner, b"500") == 500
