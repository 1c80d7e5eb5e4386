"""Outcomes of an attempt whose upstream stays silent."""

from __future__ import annotations

from datetime import timedelta

from twisted.internet import defer

from banyansail.gateway.decisions.responses.retry_policy import (
    Incomplete,
    Progress,
    Rejection,
    next_step,
)
from banyansail.gateway.requests.attempt import Attempt
from banyansail.gateway.requests.byte_budget import ByteBudget
from tests.gateway.builders import route


class SilentConnection:
    def __init__(self):
        self.is_aborted = False
        self.has_answered = True

    def send_request(self, *args):
        pass

    def abort(self):
        self.is_aborted = True


class SilentPool:
    def __init__(self):
        self.connection = SilentConnection()

    def pop_idle(self, request_id):
        return self.connection


def ended_attempt(**options):
    pool = SilentPool()
    attempt = Attempt(
        pool, "a1", None, lambda head: None, lambda head: None, ByteBudget(100)
    )
    outcomes = []
    running = defer.Deferred.fromCoroutine(attempt.run(b"GET", b"/", [], b""))
    running.addCallback(outcomes.append)
    attempt.abort("no answer", **options)
    assert pool.connection.is_aborted
    return outcomes[0]


def test_an_attempt_that_timed_out_ends_as_a_timeout():
    outcome = ended_attempt(is_timeout=True)
    assert outcome == Incomplete("no answer", is_timeout=True)
    step = next_step(outcome, route(), Progress(1, 1), timedelta(0))
    assert isinstance(step, Rejection)
    assert step.status == 504


def test_an_attempt_that_broke_off_is_not_a_timeout():
    assert ended_attempt() == Incomplete("no answer")
