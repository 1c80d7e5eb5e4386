"""Records of a newer build in the ledger, which no rewrite may damage."""

from __future__ import annotations

from banyansail.ledger.codec import decode_head, encode_head
from banyansail.ledger.records import FinishKey, InFlight, StartKey, StoredAnswer
from tests.fakes import START

ANSWER = [200, "text/plain", "ok", "more"]
RECORDS = {
    "held": ["held", "a", 1, START.timestamp(), None],
    "longer": ["started", "b", 1, START.timestamp(), None, {"more": 1}],
    "answered": ["done", "c", 1, START.timestamp(), ANSWER],
}


def newer_head():
    return decode_head(
        {
            "pages": [["p", START.timestamp(), 3, "more"]],
            "segments": [["s", START.timestamp(), "", "more"]],
            "records": RECORDS,
            "more": 1,
        }
    )


def test_a_key_in_an_unknown_state_is_not_run_again():
    """Guards against a shard that refuses all orders for one record."""
    head = newer_head()
    for claimant in ("a", "z"):
        result, changed = head.apply(StartKey("held", claimant, 1), START)
        assert (result, changed) == (InFlight("a"), False)


def test_the_other_keys_of_the_shard_are_read():
    head = newer_head()
    result, _ = head.apply(StartKey("answered", "z", 1), START)
    assert result.answer == StoredAnswer(200, "text/plain", "ok")
    result, _ = head.apply(StartKey("longer", "z", 1), START)
    assert result == InFlight("b")


def test_a_rewritten_head_keeps_what_this_build_does_not_know():
    head = newer_head()
    head.apply(FinishKey("longer", "b", StoredAnswer(200, "t", None)), START)
    records = encode_head(head)["records"]
    assert records["held"] == RECORDS["held"]
    assert records["longer"][0] == "done"
    assert records["longer"][5:] == [{"more": 1}]
