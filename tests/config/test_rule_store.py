"""Concurrent updates of the rules, and updates whose answer is lost."""

from __future__ import annotations

import pytest

from banyansail.config.rule_store import (
    MAX_HISTORY,
    LostRaceError,
    apply_rules,
    decode_history,
    read_rules,
)
from banyansail.exceptions import PlatformUnavailableError
from tests.fakes import START, FakeClock, FakePlatform, run_now


@pytest.fixture
def platform():
    return FakePlatform(FakeClock())


def apply(platform, text: str, operator: str = "isla", **options):
    update_id = f"{operator}/{text}"
    return run_now(
        apply_rules(
            platform,
            text,
            operator=operator,
            update_id=update_id,
            accepted_at=START,
            **options,
        )
    )


def test_comments_survive_the_round_trip(platform):
    text = "service a kind=plain  # isla: why é\n\n# alone\n"
    assert apply(platform, text).version == 1
    current, _ = run_now(read_rules(platform))
    assert current.text == text


def test_lost_race_says_who_won(platform):
    apply(platform, "one")
    apply(platform, "two", operator="ewan", expected=1)
    with pytest.raises(LostRaceError, match="ewan applied version 2") as caught:
        apply(platform, "three", expected=1)
    assert caught.value.winner.text == "two"
    current, _ = run_now(read_rules(platform))
    assert current.text == "two"


def test_of_two_concurrent_updates_one_is_accepted(platform):
    apply(platform, "one")
    real_put = platform.put

    async def put_after_another(key, body, expected, kind=None):
        platform.put = real_put
        await apply_rules(
            platform, "theirs", operator="ewan", update_id="ewan/1", accepted_at=START
        )
        return await real_put(key, body, expected)

    platform.put = put_after_another
    with pytest.raises(LostRaceError, match="ewan applied version 2"):
        apply(platform, "mine")
    assert run_now(read_rules(platform))[0].text == "theirs"


def test_sequential_updates_without_an_expected_version_succeed(platform):
    assert apply(platform, "one").version == 1
    assert apply(platform, "two", operator="ewan").version == 2


def test_answer_lost_after_the_write_is_recognised(platform):
    platform.lost_answers = [True]
    assert apply(platform, "one").version == 1


def test_lost_answer_is_recognised_after_a_later_update(platform):
    apply(platform, "one")
    real_put = platform.put

    async def put_then_race(key, body, expected, kind=None):
        platform.put = real_put
        await real_put(key, body, expected)
        await apply_rules(
            platform, "two", operator="ewan", update_id="ewan/two", accepted_at=START
        )
        raise PlatformUnavailableError("the answer was lost")

    platform.put = put_then_race
    assert apply(platform, "mine").version == 2


def test_write_that_never_arrived_is_reported(platform):
    platform.failed_calls = [False, True]
    with pytest.raises(PlatformUnavailableError, match="still in force"):
        apply(platform, "one")
    assert run_now(read_rules(platform))[0].version == 0


def test_history_is_bounded_and_newest_first(platform):
    for number in range(MAX_HISTORY + 5):
        apply(platform, f"text {number}")
    current, body = run_now(read_rules(platform))
    texts = [item.text for item in decode_history(current, body)]
    assert texts[0] == f"text {MAX_HISTORY + 4}"
    assert texts[1] == f"text {MAX_HISTORY + 3}"
    assert len(texts) == MAX_HISTORY + 1
