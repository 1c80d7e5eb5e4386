"""Records of keys: a stateful test against a model, and limits."""

from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from banyansail.ledger.codec import decode_head, encode_head
from banyansail.ledger.key_index import Segment
from banyansail.ledger.records import (
    MAX_SHARD_BYTES,
    RETENTION,
    Finished,
    FinishKey,
    InFlight,
    KeyMismatch,
    KeyState,
    Record,
    Recorded,
    ReleaseKey,
    ShardFull,
    ShardHead,
    Started,
    StartKey,
    StoredAnswer,
)
from tests.fakes import START

KEYS = st.sampled_from(["k1", "k2", "k3"])
CLAIMANTS = st.sampled_from(["a1", "a2", "a3", "a4"])
ANSWER = StoredAnswer(200, "application/json", "{}")


class LedgerMachine(RuleBasedStateMachine):
    """Many claimants of few keys, of which at most one per key may send the call."""

    def __init__(self) -> None:
        super().__init__()
        self.head = ShardHead()
        self.sent: dict[str, set[str]] = {}
        self.claimant_by_key: dict[str, str] = {}
        self.finished: dict[str, str] = {}
        self.sealed: dict[str, Record] = {}

    def apply(self, operation):
        # Each step encodes and decodes the head, as a router that loads it does.
        self.head = decode_head(encode_head(self.head))
        self.head.sealed_record_by_key = self.sealed
        return self.head.apply(operation, START)[0]

    @rule(key=KEYS, claimant_id=CLAIMANTS)
    def start(self, key, claimant_id):
        result = self.apply(StartKey(key, claimant_id, 7))
        match result:
            case Started():
                # Either a new key, or the same claimant after a lost answer.
                assert self.claimant_by_key.get(key, claimant_id) == claimant_id
                self.claimant_by_key[key] = claimant_id
            case InFlight(other):
                assert self.claimant_by_key[key] == other != claimant_id
            case Finished(answer):
                assert self.finished[key] == self.claimant_by_key[key]
                assert answer == ANSWER

    @rule(key=KEYS)
    def send(self, key):
        if key in self.claimant_by_key:
            self.sent.setdefault(key, set()).add(self.claimant_by_key[key])

    @rule(key=KEYS, claimant_id=CLAIMANTS)
    def finish(self, key, claimant_id):
        if self.claimant_by_key.get(
            key
        ) != claimant_id or claimant_id not in self.sent.get(key, ()):
            return
        assert self.apply(FinishKey(key, claimant_id, ANSWER)) == Recorded()
        self.finished[key] = claimant_id

    @rule()
    def seal(self):
        records = self.head.record_by_key
        settled = {
            key: record
            for key, record in records.items()
            if record.state is not KeyState.STARTED
        }
        if settled:
            self.head.seal(Segment("segment", START, ()), settled)
            self.sealed.update(settled)

    @rule(key=KEYS, claimant_id=CLAIMANTS)
    def finish_by_another_claimant(self, key, claimant_id):
        if self.claimant_by_key.get(key) != claimant_id:
            before = encode_head(self.head)
            self.apply(FinishKey(key, claimant_id, ANSWER))
            assert encode_head(self.head) == before

    @rule(key=KEYS, claimant_id=CLAIMANTS)
    def release(self, key, claimant_id):
        if claimant_id in self.sent.get(key, ()):
            return  # a claimant that has sent the call may not release the key
        self.apply(ReleaseKey(key, claimant_id))
        if self.claimant_by_key.get(key) == claimant_id:
            del self.claimant_by_key[key]

    @invariant()
    def at_most_one_claimant_sends(self):
        assert all(len(attempts) <= 1 for attempts in self.sent.values())


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


def test_key_of_another_call():
    head = ShardHead()
    head.apply(StartKey("k", "a", 1), START)
    assert head.apply(StartKey("k", "b", 2), START) == (KeyMismatch(), False)


def test_full_shard_refuses_new_keys_and_keeps_old_ones():
    head = ShardHead()
    count = 0
    while head.apply(StartKey(f"key-{count:06}", "a" * 40, 1), START)[1]:
        count += 1
    assert head.apply(StartKey("new", "a", 1), START) == (ShardFull(), False)
    again = head.apply(StartKey("key-000000", "other", 1), START)
    assert again == (InFlight("a" * 40), False)
    import json

    assert len(json.dumps(encode_head(head))) <= MAX_SHARD_BYTES


@pytest.mark.parametrize("age", [RETENTION, RETENTION + timedelta(seconds=1)])
def test_records_expire_by_age_only(age):
    head = ShardHead()
    head.apply(StartKey("k", "a", 1), START)
    head.expire(START + age)
    assert ("k" in head.record_by_key) == (age <= RETENTION)
