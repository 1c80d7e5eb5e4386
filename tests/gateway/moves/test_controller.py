from __future__ import annotations

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.exceptions import StoreConflictError
from banyansail.fleet.entries import Entry, Topic
from banyansail.gateway.decisions.queue.dispatch import Dispatcher
from banyansail.gateway.moves.controller import MoveController
from banyansail.gateway.moves.memory import AnswerQuality
from banyansail.gateway.moves.move import (
    CANARY_SHARE,
    MAX_RAMP_TIME,
    PROVEN_SHARE,
    ExposureBound,
    Move,
    MoveState,
    state_to_publish,
    target_share,
)
from banyansail.gateway.moves.verdict import (
    Evidence,
    MoveEvidence,
    Verdict,
    judge,
)
from banyansail.gateway.store.mirror import Mirror
from banyansail.traffic.tally import Tally, TallyKey
from banyansail.wire.gossip_codec import encode_names
from tests.fakes import FakeClock, run_now
from tests.gateway.builders import seconds, upstream
from tests.gateway.fake_store import FakeStore

MOVE = Move("engines", "v2", seconds(12), 7)
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50


def judged(target, others, **options):
    """Return the verdict on the sums over all routes."""
    return judge(MoveEvidence(Evidence(target, others)), **options)


def test_a_version_that_fails_more_than_the_others_is_bad():
    assert judged(Tally(10, 5), Tally(100, 2)) is Verdict.BAD
    assert judged(Tally(30, 1), Tally(100, 2)) is Verdict.GOOD
    assert judged(Tally(3, 1), Tally(100, 2)) is Verdict.OPEN


def test_a_version_that_few_answers_show_to_be_bad_is_judged_when_it_is_due():
    target, others = Tally(7, 3), Tally(375, 32)
    assert judged(target, others) is Verdict.OPEN
    assert judged(target, others, is_due=True) is Verdict.BAD
    assert judged(Tally(9, 1), others, is_due=True) is Verdict.OPEN


def test_failures_that_all_versions_share_are_no_reason_to_roll_back():
    assert judged(Tally(80, 14), Tally(80, 14)) is Verdict.GOOD


def share_at(elapsed, verdict, exposure_limit=EXPOSE_SHARE):
    canary_share = exposure_limit * CANARY_SHARE
    return target_share(MOVE, verdict, seconds(elapsed), exposure_limit, canary_share)


@pytest.mark.parametrize("exposure_limit", [0.02, 0.1, 0.3])
def test_shares_go_up_only_with_evidence_and_at_the_end(exposure_limit):
    assert share_at(11, Verdict.OPEN, exposure_limit) == exposure_limit * CANARY_SHARE
    assert share_at(5, Verdict.GOOD, exposure_limit) == exposure_limit * PROVEN_SHARE
    assert share_at(11.2, Verdict.GOOD, exposure_limit) == 1.0
    assert share_at(11, Verdict.BAD, exposure_limit) == 0.0


def test_few_answers_so_far_give_an_unproven_version_the_whole_tolerated_share():
    """With half of it, too few answers for a verdict came before the deadline."""
    bound = ExposureBound(EXPOSE_SHARE, EXPOSE_SLACK)
    assert bound.canary_share(Tally(0, 0), Tally(0, 0)) == EXPOSE_SHARE
    assert bound.canary_share(Tally(30, 3), Tally(100, 2)) == EXPOSE_SHARE
    later = bound.canary_share(Tally(40, 5), Tally(100, 2))
    assert later == EXPOSE_SHARE * CANARY_SHARE
    assert ExposureBound(0.1).canary_share(Tally(1, 0), Tally(9, 0)) == 0.05


def test_completion_waits_for_the_last_requests_of_the_old_version():
    def state_at(elapsed, old_in_flight, answers_under_load=20):
        share = share_at(elapsed, Verdict.GOOD)
        return state_to_publish(
            MOVE,
            Verdict.GOOD,
            seconds(elapsed),
            share,
            old_in_flight=old_in_flight,
            answers_under_load=answers_under_load,
        )

    assert state_at(11.2, 2) is MoveState.RUNNING
    assert state_at(11.2, 0) is MoveState.COMPLETED
    assert state_at(11.5, 2) is MoveState.COMPLETED
    assert state_at(5, 0) is MoveState.RUNNING
    # Also for answers under the full load, and for some time under it.
    assert state_at(11.2, 0, answers_under_load=19) is MoveState.RUNNING
    assert state_at(11.5, 0, answers_under_load=0) is MoveState.COMPLETED
    assert state_at(10.4, 0) is MoveState.RUNNING


@settings(derandomize=True, max_examples=200)
@given(
    st.floats(5, 40),
    st.integers(5, 80),
    st.floats(0, 1),
    st.floats(0.3, 1),
    st.integers(0, 2**32),
)
def test_a_bad_version_gets_little_whenever_it_goes_bad(
    duration, rate, bad_from, bad_share, seed
):
    """Simulate a move whose evidence reaches all routers within half a second."""
    move = Move("engines", "v2", seconds(duration), 1)
    random = Random(seed)
    target, others = Tally(), Tally()
    bound = ExposureBound(EXPOSE_SHARE, EXPOSE_SLACK)
    exposed = exposed_bad = total = 0
    goes_bad_late = duration * (1 - bad_from) <= MAX_RAMP_TIME.total_seconds()
    step = 0.5
    for tick in range(int(duration / step)):
        elapsed = seconds(tick * step)
        canary_share = bound.canary_share(target, others)
        verdict = judged(target, others)
        share = target_share(move, verdict, elapsed, EXPOSE_SHARE, canary_share)
        is_bad = tick * step >= duration * bad_from
        for _ in range(int(rate * step)):
            total += 1
            if random.random() >= share:
                others.good += 1
                continue
            exposed += 1
            exposed_bad += is_bad
            fails = is_bad and random.random() < bad_share
            target.add(Tally(0, 1) if fails else Tally(1, 0))
    if goes_bad_late:
        # A version that fails only during the final ramp can't be detected before; its
        # exposure is the traffic until its first bad answers are known.
        assert exposed_bad <= rate * 2 * step + 4 / bad_share + 10
    else:
        assert exposed <= EXPOSE_SHARE * total + EXPOSE_SLACK


def controller_of(store, clock, lease):
    dispatcher = Dispatcher("glasgow", clock, None)
    exposure = ExposureBound(EXPOSE_SHARE, EXPOSE_SLACK)
    return MoveController(clock, store, lease, dispatcher, exposure), dispatcher


def count(controller, version, *, is_good):
    quality = AnswerQuality.GOOD if is_good else AnswerQuality.SLOW
    controller.record("engines", version, "draft", quality, seconds(0))


class FakeLease:
    def fencing_token(self):
        return 1


def order(store, target="v2"):
    spec = {"service": "engines", "target": target, "durationS": 12}
    return store._put("rollouts", "engines", spec)


def status_of(state, target="v2", number=1):
    return {"state": state, "target": target, "order": number}


def follow(store, clock, controller):
    mirror = Mirror("rollouts", store, clock, controller.apply_orders)
    run_now(mirror._list())


def test_a_bad_version_is_published_as_rolled_back_and_gets_no_traffic():
    store, clock = FakeStore(), FakeClock()
    controller, dispatcher = controller_of(store, clock, FakeLease())
    order(store)
    follow(store, clock, controller)
    for _ in range(10):
        count(controller, "v2", is_good=False)
        count(controller, "v1", is_good=True)
    run_now(controller.publish_states())
    stored = store.object_by_key["rollouts", "engines"]
    assert stored.status == status_of("rolled_back")
    assert dispatcher.state("engines").version_share.share == 0.0
    count(controller, "v2", is_good=True)
    controller.update_shares()
    assert dispatcher.state("engines").version_share.share == 0.0


def test_a_bad_version_with_few_answers_is_rolled_back_by_its_deadline():
    store, clock = FakeStore(), FakeClock()
    controller, _ = controller_of(store, clock, FakeLease())
    order(store)
    follow(store, clock, controller)
    for number in range(400):
        count(controller, "v1", is_good=number % 12 > 0)
    for number in range(10):
        count(controller, "v2", is_good=number > 2)
    clock.advance(5)
    run_now(controller.publish_states())
    assert store.object_by_key["rollouts", "engines"].status["state"] == "running"
    follow(store, clock, controller)
    clock.advance(6)
    run_now(controller.publish_states())
    stored = store.object_by_key["rollouts", "engines"]
    assert stored.status == status_of("rolled_back")


def test_holder_without_enough_evidence_publishes_another_routers_bad_verdict():
    """Tallies arrive at different times, so verdicts of routers may differ for good."""
    clock = FakeClock()
    first, _ = controller_of(FakeStore(), clock, FakeLease())
    store = FakeStore()
    holder, dispatcher = controller_of(store, clock, FakeLease())
    for source in (store, other_store := FakeStore()):
        order(source)
    follow(other_store, clock, first)
    for number in range(10):
        count(first, "v1", is_good=True)
        count(first, "v2", is_good=number > 3)
    first.update_shares()
    value = first.encode_bad_moves()
    holder.merge_bad_moves(Entry("r1", 1, Topic.STATEMENTS, 1, value))
    follow(store, clock, holder)
    run_now(holder.publish_states())
    stored = store.object_by_key["rollouts", "engines"]
    assert stored.status == status_of("rolled_back")
    assert dispatcher.state("engines").version_share.share == 0.0


def test_bad_verdict_on_an_earlier_order_says_nothing_of_a_new_one():
    clock = FakeClock()
    store = FakeStore()
    controller, _ = controller_of(store, clock, FakeLease())
    order(store)
    follow(store, clock, controller)
    value = encode_names(["bad/engines/v2/12345"])
    controller.merge_bad_moves(Entry("r1", 1, Topic.STATEMENTS, 1, value))
    run_now(controller.publish_states())
    stored = store.object_by_key["rollouts", "engines"]
    assert stored.status["state"] == "running"


def record_answer(controller, version, duration, **options):
    target = upstream(f"e-{version}", "engines", version=version, **options)
    is_slow = controller.record_time(target, "draft", seconds(duration))
    count(controller, version, is_good=not is_slow)


@pytest.mark.parametrize("factor", [4, 8])
def test_a_version_that_answers_several_times_slower_is_rolled_back(factor):
    """Its answers are complete, and within the latency objective."""
    store, clock, random = FakeStore(), FakeClock(), Random(1)
    controller, dispatcher = controller_of(store, clock, FakeLease())
    order(store)
    follow(store, clock, controller)
    for _ in range(20):
        record_answer(controller, "v1", random.uniform(0.3, 0.6))
        record_answer(controller, "v2", factor * random.uniform(0.3, 0.6))
    run_now(controller.publish_states())
    assert store.object_by_key["rollouts", "engines"].status["state"] == "rolled_back"
    assert dispatcher.state("engines").version_share.share == 0.0


@pytest.mark.parametrize("seed", range(5))
def test_a_version_whose_answers_vary_like_the_others_is_not_rolled_back(seed):
    store, clock, random = FakeStore(), FakeClock(), Random(seed)
    controller, _ = controller_of(store, clock, FakeLease())
    order(store)
    follow(store, clock, controller)
    for _ in range(200):
        record_answer(controller, "v1", random.lognormvariate(-1, 0.5))
        record_answer(controller, "v2", random.lognormvariate(-1, 0.5))
        controller.update_shares()
    run_now(controller.publish_states())
    assert store.object_by_key["rollouts", "engines"].status["state"] == "running"


def test_a_version_that_is_slow_only_while_it_starts_is_not_rolled_back():
    store, clock = FakeStore(), FakeClock()
    controller, _ = controller_of(store, clock, FakeLease())
    order(store)
    follow(store, clock, controller)
    for _ in range(20):
        record_answer(controller, "v1", 0.5)
        record_answer(controller, "v2", 4.0, is_cold=True)
    run_now(controller.publish_states())
    assert store.object_by_key["rollouts", "engines"].status["state"] == "running"


def test_evidence_of_other_routers_counts():
    store, clock = FakeStore(), FakeClock()
    controller, dispatcher = controller_of(store, clock, FakeLease())
    number = order(store).created_revision
    follow(store, clock, controller)
    controller.set_fleet_tallies({TallyKey("engines", number, True): Tally(0, 6)})
    controller.update_shares()
    assert dispatcher.state("engines").version_share.share == 0.0


def test_a_state_that_another_router_published_first_is_kept():
    store, clock = FakeStore(), FakeClock()
    controller, _ = controller_of(store, clock, FakeLease())
    stored = order(store)
    follow(store, clock, controller)
    rolled_back = {"state": "rolled_back", "target": "v2"}
    run_now(store.set_status("rollouts", "engines", rolled_back, stored.revision))
    run_now(controller.publish_states())
    assert store.object_by_key["rollouts", "engines"].status == rolled_back
    try:
        run_now(store.set_status("rollouts", "engines", {}, stored.revision))
    except StoreConflictError:
        return
    raise AssertionError("an old revision was accepted")


def test_late_answers_take_no_traffic_from_a_version_that_a_move_was_completed_to():
    """Guards against a service without any upstream, as the others have stopped."""
    store, clock = FakeStore(), FakeClock()
    controller, dispatcher = completed_move(store, clock)
    bad = TallyKey("engines", 1, True)
    controller.set_fleet_tallies({bad: Tally(30, 20, 20)})
    controller.update_shares()
    assert dispatcher.state("engines").version_share.share == 1.0
    value = encode_names(["bad/engines/v2/1"])
    controller.merge_bad_moves(Entry("r1", 1, Topic.STATEMENTS, 1, value))
    assert dispatcher.state("engines").version_share.share == 1.0


def completed_move(store, clock):
    controller, dispatcher = controller_of(store, clock, FakeLease())
    stored = order(store)
    follow(store, clock, controller)
    completed = {"state": "completed", "target": "v2"}
    run_now(store.set_status("rollouts", "engines", completed, stored.revision))
    follow(store, clock, controller)
    return controller, dispatcher


def test_a_final_state_that_a_restored_store_has_lost_is_published_again():
    store, clock = FakeStore(), FakeClock()
    order(store)
    copy = store.copy()
    controller, dispatcher = completed_move(store, clock)
    store.restore(copy)
    controller.record_restore()
    follow(store, clock, controller)
    assert dispatcher.state("engines").version_share.share == 1.0
    run_now(controller.publish_states())
    stored = store.object_by_key["rollouts", "engines"]
    assert stored.status == status_of("completed")


def test_an_order_that_is_written_again_after_a_restore_is_the_same_move():
    store, clock = FakeStore(), FakeClock()
    copy = store.copy()
    controller, dispatcher = completed_move(store, clock)
    store.restore(copy)
    controller.record_restore()
    follow(store, clock, controller)
    clock.advance(2)
    store.revision += 5
    order(store)
    follow(store, clock, controller)
    assert dispatcher.state("engines").version_share.share == 1.0


def test_another_order_after_a_restore_is_a_new_move():
    store, clock = FakeStore(), FakeClock()
    copy = store.copy()
    controller, dispatcher = completed_move(store, clock)
    store.restore(copy)
    controller.record_restore()
    store.revision += 5
    order(store, target="v3")
    follow(store, clock, controller)
    assert dispatcher.state("engines").version_share.share < 1.0


def test_a_published_state_of_a_newer_build_is_not_replaced_by_running():
    store, clock = FakeStore(), FakeClock()
    controller, _ = controller_of(store, clock, FakeLease())
    stored = order(store)
    status = {"state": "held", "target": "v2", "more": 1}
    run_now(store.set_status("rollouts", "engines", status, stored.revision))
    follow(store, clock, controller)
    run_now(controller.publish_states())
    assert store.object_by_key["rollouts", "engines"].status == status


def test_an_unreadable_order_does_not_hide_the_others():
    store, clock = FakeStore(), FakeClock()
    controller, dispatcher = controller_of(store, clock, FakeLease())
    store._put("rollouts", "depot", {"service": "depot", "target": "v2"})
    far = {"service": "far", "target": "v2", "durationS": 1e300}
    store._put("rollouts", "far", far)
    order(store)
    follow(store, clock, controller)
    assert dispatcher.state("engines").version_share.version == "v2"


class Move30:
    """A move of a service with two routes, 30 requests a second, played by one router.

    Answers of the target that `is_bad` names are failures; each takes effect at once.
    """

    def __init__(self, duration_s, is_bad):
        self.store, self.clock = FakeStore(), FakeClock()
        self.controller, self.dispatcher = controller_of(
            self.store, self.clock, FakeLease()
        )
        spec = {"service": "engines", "target": "v2", "durationS": duration_s}
        self.store._put("rollouts", "engines", spec)
        self.duration_s, self.is_bad = duration_s, is_bad
        self.random = Random(1)
        self.exposed = self.total = 0
        self.exposed_at: list[float] = []

    def play(self):
        """Play the move until its end; return the published state."""
        for tick in range(int(self.duration_s * 10)):
            if tick % 3 == 0:
                follow(self.store, self.clock, self.controller)
                run_now(self.controller.publish_states())
            state = self.state()
            if state != "running":
                return state
            for _ in range(3):
                self._answer(tick / 10)
            self.clock.advance(0.1)
        return self.state()

    def state(self):
        stored = self.store.object_by_key["rollouts", "engines"]
        return (stored.status or {"state": "running"})["state"]

    def _answer(self, at):
        share = self.dispatcher.state("engines").version_share.share
        is_target = self.random.random() < share
        route_name = "lookups" if self.random.random() < 0.287 else "orders"
        self.total += 1
        fails = False
        if is_target:
            self.exposed += 1
            self.exposed_at.append(at)
            recent = sum(at - item <= 1 for item in self.exposed_at)
            fails = self.is_bad(route_name, recent)
        quality = AnswerQuality.FAILED if fails else AnswerQuality.GOOD
        version = "v2" if is_target else "v1"
        self.controller.record("engines", version, route_name, quality, seconds(0))

    def allowed(self):
        return EXPOSE_SHARE * self.total + EXPOSE_SLACK


@pytest.mark.parametrize("duration_s", [12, 15, 25, 40])
def test_a_version_that_fails_on_one_route_only_is_rolled_back(duration_s):
    """Guards against failures that the sum over all routes hides."""
    lookups = [0]

    def is_bad(route_name, recent):
        lookups[0] += route_name == "lookups"
        return route_name == "lookups" and lookups[0] % 7 == 0

    move = Move30(duration_s, is_bad)
    assert move.play() == "rolled_back"
    assert move.exposed <= move.allowed()


@pytest.mark.parametrize("duration_s", [12, 15, 25, 40])
def test_a_version_that_fails_under_load_only_is_rolled_back(duration_s):
    """Guards against good answers of a canary that hide the bad ones of the ramp."""
    random = Random(2)

    def is_bad(route_name, recent):
        return recent >= 12 and random.random() < 0.4

    move = Move30(duration_s, is_bad)
    assert move.play() == "rolled_back"
    assert move.exposed <= move.allowed()


@pytest.mark.parametrize("duration_s", [8, 12, 15, 25, 40])
def test_a_good_version_is_completed_in_time(duration_s):
    """Guards against a judgement under load that takes longer than the move."""
    move = Move30(duration_s, lambda route_name, recent: False)
    assert move.play() == "completed"


def test_failures_on_a_route_that_others_share_are_no_reason_to_roll_back():
    shared = Evidence(Tally(40, 3, 3), Tally(360, 30, 30))
    assert judge(MoveEvidence(shared, {"lookups": shared})) is Verdict.GOOD


def test_missing_answers_are_judged_by_their_share_only():
    """Guards against a good version that is rolled back as one upstream crashed."""
    evidence = Evidence(Tally(60, 3), Tally(360, 0))
    assert judge(MoveEvidence(evidence, {"lookups": evidence})) is Verdict.GOOD
    failed = Evidence(Tally(60, 3, 3), Tally(360, 0))
    assert judge(MoveEvidence(failed, {"lookups": failed})) is Verdict.BAD


def test_answers_under_load_are_judged_by_themselves():
    """Guards against slow answers under load that those before it hide."""
    route = Evidence(Tally(200, 10), Tally(300, 0), under_load=Tally(15, 10))
    total = Evidence(route.target, route.others)
    assert judge(MoveEvidence(total, {"lookups": route})) is Verdict.BAD


def test_evidence_by_route_of_other_routers_counts():
    store, clock = FakeStore(), FakeClock()
    controller, dispatcher = controller_of(store, clock, FakeLease())
    number = order(store).created_revision
    follow(store, clock, controller)
    tallies = {
        TallyKey("engines", number, True): Tally(98, 2, 2),
        TallyKey("engines", number, True, "lookups"): Tally(12, 2, 2),
        TallyKey("engines", number, False, "lookups"): Tally(90),
    }
    controller.set_fleet_tallies(tallies)
    controller.update_shares()
    assert dispatcher.state("engines").version_share.share == 0.0
