"""Tests of the fair queue: a state machine against a plain list, and properties."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from banyansail.routing.queue import LOWEST_PRIORITY_INTERVAL, FairQueue
from tests.naive.decisions import NaiveQueue
from tests.routing.builders import new_ticket

WEIGHTS = {"big": 3, "small": 1}


def fair_queue(capacity: int = 1000) -> FairQueue:
    return FairQueue(capacity, lambda workspace: WEIGHTS[workspace])


class QueueMachine(RuleBasedStateMachine):
    """Pushes, pops and cancels requests in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fair_queue()
        self.waiting = []
        self.number = 0
        self.pop_count = 0

    @rule(
        priority=st.integers(0, 3),
        workspace=st.sampled_from(sorted(WEIGHTS)),
        deadline=st.integers(1001, 1100),
    )
    def push(self, priority, workspace, deadline):
        self.number += 1
        item = new_ticket(
            self.number, priority=priority, workspace=workspace, deadline=deadline
        )
        self.queue.push(item)
        self.waiting.append(item)

    @precondition(lambda self: self.waiting)
    @rule()
    def pop(self):
        item = self.queue.pop()
        is_lowest_priority_turn = (
            self.pop_count % LOWEST_PRIORITY_INTERVAL == LOWEST_PRIORITY_INTERVAL - 1
        )
        pick = min if is_lowest_priority_turn else max
        expected_priority = pick(other.priority for other in self.waiting)
        assert item.priority == expected_priority
        same_workspace = [
            other
            for other in self.waiting
            if (other.priority, other.workspace) == (item.priority, item.workspace)
        ]
        assert item.deadline == min(other.deadline for other in same_workspace)
        self.waiting.remove(item)
        self.pop_count += 1

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        item = data.draw(st.sampled_from(self.waiting))
        self.queue.cancel(item)
        self.waiting.remove(item)

    @invariant()
    def size_is_that_of_the_list(self):
        assert len(self.queue) == len(self.waiting)
        if not self.waiting:
            assert self.queue.pop() is None


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)


def drain(queue) -> list:
    popped = []
    while (item := queue.pop()) is not None:
        popped.append(item)
    return popped


def test_same_requests_come_out_as_of_the_naive_queue():
    ours, naive = fair_queue(), NaiveQueue(1000)
    for number in range(100):
        item = new_ticket(number, priority=number % 3, workspace="big")
        ours.push(item)
        naive.push(item)
    names = [sorted(item.request_id for item in drain(q)) for q in (ours, naive)]
    assert names[0] == names[1]


def test_equal_requests_are_served_in_arrival_order():
    ours, naive = fair_queue(), NaiveQueue(1000)
    for number in range(50):
        item = new_ticket(number, deadline=2000)
        ours.push(item)
        naive.push(item)
    assert drain(ours) == drain(naive)


def test_workspaces_share_by_weight():
    queue = fair_queue()
    for number in range(400):
        queue.push(new_ticket(number, workspace="big" if number % 2 else "small"))
    served = Counter(queue.pop().workspace for _ in range(200))
    assert 145 <= served["big"] <= 155


def test_idle_workspace_accumulates_no_credit():
    queue = fair_queue()
    for number in range(300):
        queue.push(new_ticket(number, workspace="big"))
    for _ in range(150):
        queue.pop()
    for number in range(100):
        queue.push(new_ticket(1000 + number, workspace="small"))
    served = Counter(queue.pop().workspace for _ in range(40))
    assert 28 <= served["big"] <= 32


def test_high_priority_goes_first_and_low_priority_does_not_starve():
    queue = fair_queue()
    for number in range(500):
        queue.push(new_ticket(number, priority=9 if number % 2 else 1))
    served = Counter(queue.pop().priority for _ in range(80))
    assert served[9] == 70
    assert served[1] == 10
