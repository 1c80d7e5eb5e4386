"""Queue: a state machine against a plain list, and its promises."""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from banyansail.routing.queue import LOWEST_PRIORITY_INTERVAL, FairQueue
from tests.naive.decisions import NaiveQueue
from tests.routing.builders import ticket

WEIGHTS = {"big": 3, "small": 1}


def fair_queue(capacity: int = 1000) -> FairQueue:
    return FairQueue(capacity, lambda workspace: WEIGHTS[workspace])


class QueueMachine(RuleBasedStateMachine):
    """Pushes, pops and cancels in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fair_queue()
        self.waiting = []
        self.number = 0
        self.pops = 0

    @rule(
        priority=st.integers(0, 3),
        workspace=st.sampled_from(sorted(WEIGHTS)),
        deadline=st.integers(1001, 1100),
    )
    def push(self, priority, workspace, deadline):
        self.number += 1
        item = ticket(
            self.number, priority=priority, workspace=workspace, deadline=deadline
        )
        self.queue.push(item)
        self.waiting.append(item)

    @precondition(lambda self: self.waiting)
    @rule()
    def pop(self):
        item = self.queue.pop()
        lowest_turn = (
            self.pops % LOWEST_PRIORITY_INTERVAL == LOWEST_PRIORITY_INTERVAL - 1
        )
        edge = min if lowest_turn else max
        wanted = edge(other.priority for other in self.waiting)
        assert item.priority == wanted
        rivals = [
            other
            for other in self.waiting
            if (other.priority, other.workspace) == (item.priority, item.workspace)
        ]
        assert item.deadline == min(other.deadline for other in rivals)
        self.waiting.remove(item)
        self.pops += 1

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
        item = ticket(number, priority=number % 3, workspace="big")
        ours.push(item)
        naive.push(item)
    names = [sorted(item.request_id for item in drain(q)) for q in (ours, naive)]
    assert names[0] == names[1]


def test_one_kind_of_request_is_served_in_the_naive_order():
    ours, naive = fair_queue(), NaiveQueue(1000)
    for number in range(50):
        item = ticket(number, deadline=2000)
        ours.push(item)
        naive.push(item)
    assert drain(ours) == drain(naive)


def test_workspaces_share_by_weight():
    queue = fair_queue()
    for number in range(400):
        queue.push(ticket(number, workspace="big" if number % 2 else "small"))
    served = Counter(queue.pop().workspace for _ in range(200))
    assert 145 <= served["big"] <= 155


def test_workspace_that_was_idle_gets_no_arrears():
    queue = fair_queue()
    for number in range(300):
        queue.push(ticket(number, workspace="big"))
    for _ in range(150):
        queue.pop()
    for number in range(100):
        queue.push(ticket(1000 + number, workspace="small"))
    served = Counter(queue.pop().workspace for _ in range(40))
    assert 28 <= served["big"] <= 32


def test_questions_pass_drafts_and_drafts_do_not_starve():
    queue = fair_queue()
    for number in range(500):
        queue.push(ticket(number, priority=9 if number % 2 else 1))
    served = Counter(queue.pop().priority for _ in range(80))
    assert served[9] == 70
    assert served[1] == 10
