"""Statuses of moves that a newer build stored."""

from __future__ import annotations

from banyansail.rollout.status import (
    MoveState,
    MoveStatus,
    decode_status,
    encode_status,
    update_unless_final,
)
from tests.fakes import START

STATUS = MoveStatus("m", MoveState.DONE, START, "all answered", "r0")


def test_a_state_of_a_newer_build_is_read_and_never_overwritten():
    stored = {**encode_status(STATUS), "state": "held", "more": 1}
    assert decode_status(stored).state is MoveState.UNKNOWN
    assert not decode_status(stored).state.is_final
    assert update_unless_final(stored, STATUS) is None


def test_a_state_of_another_move_is_overwritten():
    stored = {**encode_status(STATUS), "move": "earlier", "state": "held"}
    assert update_unless_final(stored, STATUS) == encode_status(STATUS)
