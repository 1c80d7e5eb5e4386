"""Steps of a migration: what follows each answer and each end of a stream."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from banyansail.gateway.decisions.streams.migration import (
    Continue,
    Copied,
    Copying,
    CopyRefused,
    CopyUnanswered,
    Finished,
    GiveUp,
    NoSuchRun,
    Place,
    Stop,
    Stopped,
    StreamEnded,
    step,
)

BROKEN, COMPLETE = StreamEnded(is_complete=False), StreamEnded(is_complete=True)
EVENTS = (
    Copied("h1"),
    Copied("h2"),
    CopyRefused(),
    CopyRefused("h2"),
    NoSuchRun(),
    CopyUnanswered(),
    BROKEN,
    COMPLETE,
)


def play(*events):
    """Return the last state and all actions."""
    state, actions = Copying(), []
    for event in events:
        state, action = step(state, event)
        if action is not None:
            actions.append(action)
    return state, actions


def test_a_run_is_copied_stopped_and_continued_at_the_target():
    state, actions = play(Copied("h1"), Copied("h2"), BROKEN)
    places = (Place.TARGET, Place.SOURCE)
    assert (state, actions) == (Finished(), [Stop(), Continue("h2", places)])


def test_a_stream_that_ends_before_the_answer_is_the_same():
    assert play(Copied("h1"), BROKEN, Copied("h2")) == play(
        Copied("h1"), Copied("h2"), BROKEN
    )


def test_a_run_goes_on_at_the_source_until_it_was_told_to_stop():
    for event in (CopyRefused(), NoSuchRun(), CopyUnanswered(), BROKEN):
        assert play(event) == (Finished(), [GiveUp()])


def test_a_stopped_run_that_can_not_be_copied_continues_at_the_source():
    _, actions = play(Copied("h1"), CopyRefused("h2"), BROKEN)
    assert actions == [Stop(), Continue("h2", (Place.SOURCE,))]


def test_a_source_that_does_not_answer_is_judged_by_its_stream():
    """Guards against a run that continues while its source still works on it."""
    assert play(Copied("h1"), CopyUnanswered())[1] == [Stop()]
    _, actions = play(Copied("h1"), CopyUnanswered(), BROKEN)
    assert actions == [Stop(), Continue("h1", (Place.TARGET,))]


def test_a_stream_that_broke_off_by_itself_is_not_continued():
    """Guards against a second run where the source says that it has none."""
    assert play(Copied("h1"), BROKEN, NoSuchRun())[1] == [Stop(), GiveUp()]


def test_a_stream_that_ended_completely_is_left_alone():
    """Guards against events that come twice after the end of a stream."""
    assert play(Copied("h1"), COMPLETE, Copied("h2"))[1] == [Stop(), GiveUp()]
    assert play(Copied("h1"), Copied("h2"), COMPLETE)[1] == [Stop(), GiveUp()]


@given(st.lists(st.sampled_from(EVENTS), max_size=8))
def test_a_run_continues_only_after_its_stream_has_broken_off(events):
    """Guards against two engines at work for one request, and against two ends."""
    state, actions = play(*events)
    ends = [action for action in actions if isinstance(action, Continue | GiveUp)]
    assert len(ends) <= 1
    assert actions.count(Stop()) <= 1
    assert bool(ends) == (state == Finished())
    if ends and isinstance(ends[0], Continue):
        assert actions[0] == Stop()
        assert BROKEN in events
        assert actions[-1] == ends[0]


@given(st.lists(st.sampled_from(EVENTS), max_size=8))
def test_the_end_of_the_stream_decides_every_migration(events):
    """Guards against a caller that waits for ever after its stream has ended."""
    replied = [*events, BROKEN, CopyUnanswered()]
    assert play(*replied)[0] == Finished()


def test_only_the_last_copy_is_tried_at_the_source():
    state, _ = play(Copied("h1"), Copied("h2"))
    assert state == Stopped("h2", (Place.TARGET, Place.SOURCE))
