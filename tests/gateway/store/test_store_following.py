"""Changes of the store are in force in time, whichever router or link fails."""

from __future__ import annotations

from itertools import product
from random import Random

import pytest

from banyansail.gateway.store.confirmation import MIN_STALL
from banyansail.gateway.store.watchers import ASKED_TIME
from banyansail.gateway.tasks import FOLLOW_PAUSE
from tests.gateway.following_fleet import KINDS, STEP_S, WATCH_S, FollowingFleet

CONFIG_BOUND_S = 3.0  # from the store's acknowledgement
DRAINING_BOUND_S = 3.0
MAX_LOOKS_PER_S = 10  # of a follower, for each kind


@pytest.fixture(params=[4, 16])
def fleet(request):
    with FollowingFleet(request.param) as routers:
        routers.advance(3)
        yield routers


def put(fleet, version):
    """Write a configuration and a draining mark; return a test of their use."""
    fleet.store.put("config", "main", version)
    fleet.store.put("servers", "d1", f"draining {version}")

    def is_in_force(router):
        has_config = router.spec("config", "main") == version
        return has_config and router.spec("servers", "d1") == f"draining {version}"

    return is_in_force


def time_in_force(fleet, version):
    return fleet.time_until(put(fleet, version))


def watched_kinds(fleet, router):
    return {kind for client, kind, *_ in fleet.store.watches if client is router.store}


def test_followers_learn_of_a_change_at_once_and_call_the_store_for_nothing(fleet):
    calls = fleet.store.calls
    fleet.advance(2)
    calls.clear()
    assert time_in_force(fleet, 2) < 0.2
    fleet.advance(2)
    assert len(fleet.followers()) == len(fleet.routers) - 3
    # One watch after each of the two changes, at each of three watchers.
    assert calls["watch"] == 6
    assert calls["list"] == 0


@pytest.fixture
def watched_fleet(monkeypatch):
    """A quiet fleet; `looks` has the kind of each look whether to watch it."""
    with FollowingFleet(16) as fleet:
        # The watches of routers that were asked while others started have ended.
        fleet.advance(3 + ASKED_TIME.total_seconds() + WATCH_S)
        fleet.looks = []
        for router in fleet.followers():
            must_watch = router.following.must_watch

            def count(mirror, must_watch=must_watch, name=router.name):
                fleet.looks.append((name, mirror.kind))
                return must_watch(mirror)

            monkeypatch.setattr(router.following, "must_watch", count)
        yield fleet


def test_a_follower_in_a_quiet_store_looks_a_few_times_a_second(watched_fleet):
    """Its processor time counts while nothing happens, as there are many routers."""
    watched_fleet.advance(2)
    tasks = len(watched_fleet.followers()) * len(KINDS)
    assert 0 < len(watched_fleet.looks) <= MAX_LOOKS_PER_S * 2 * tasks


def test_followers_look_at_once_after_a_restore(watched_fleet):
    """They wait for another role meanwhile, which a restore must end."""
    names = {router.name for router in watched_fleet.followers()}
    watched_fleet.store.restore(watched_fleet.store.copy())
    for router in watched_fleet.running():
        router.store.observe_era(watched_fleet.store.era)
    watched_fleet.looks.clear()
    watched_fleet.advance(FOLLOW_PAUSE.total_seconds() + STEP_S)
    assert set(watched_fleet.looks) == set(product(names, KINDS))


def test_a_data_centre_of_33_routers_calls_the_store_as_often_as_one_of_4():
    """The price of the calls must not grow with the routers."""
    calls = []
    for size in (4, 33):
        with FollowingFleet(size) as fleet:
            # Routers that were asked while others started watch for a while longer.
            fleet.advance(1 + ASKED_TIME.total_seconds())
            fleet.store.calls.clear()
            for version in range(2, 6):
                assert time_in_force(fleet, version) < 0.2
                fleet.advance(0.5)
            calls.append(fleet.store.calls["watch"] + fleet.store.calls["list"])
    assert calls[0] == calls[1]


def test_deletions_and_new_objects_reach_followers(fleet):
    """A missed deletion would leave a stopped upstream in use."""
    for name in ("d1", "d2"):
        fleet.store.put("servers", name, "ready")
    fleet.advance(0.5)
    fleet.store.delete("servers", "d1")
    fleet.store.put("servers", "d3", "ready")
    fleet.advance(0.5)
    for router in fleet.running():
        assert set(router.mirrors["servers"].object_by_name) == {"d2", "d3"}


@pytest.mark.parametrize("failure", ["is_dead", "is_frozen"])
@pytest.mark.parametrize("failed", [1, 2, 3])
def test_changes_are_in_force_in_time_when_watchers_fail(fleet, failure, failed):
    """Heartbeats of a killed or frozen watcher end only after 15 s."""
    for router in fleet.watchers_of()[:failed]:
        setattr(router, failure, True)
    assert time_in_force(fleet, 2) < CONFIG_BOUND_S
    fleet.advance(3)
    assert time_in_force(fleet, 3) < CONFIG_BOUND_S


def test_within_two_seconds_others_watch_in_place_of_all_watchers():
    with FollowingFleet(16) as fleet:
        fleet.advance(3)
        for router in fleet.watchers_of():
            router.is_frozen = True
        fleet.advance(2)
        assert len(fleet.watchers_of()) >= 2


def test_a_watcher_that_was_frozen_does_not_make_its_followers_go_back():
    """Its state is old when it resumes, and its replies wait in the connections."""
    with FollowingFleet(16) as fleet:
        fleet.advance(3)
        frozen = fleet.watchers_of()
        for router in frozen:
            router.is_frozen = True
        time_in_force(fleet, 2)
        fleet.advance(6)
        is_in_force = put(fleet, 3)
        for router in frozen:
            router.is_frozen = False
        assert fleet.time_until(is_in_force) < CONFIG_BOUND_S
        for _ in range(200):
            fleet.advance(0.05)
            assert all(map(is_in_force, fleet.running()))


FAULTS = ("freeze", "resume", "cut", "heal", "down", "up", "kill", "put", "put")
# A shorter freeze is not noticed; the delays of the answers and the steps of the clock.
AGE_TOLERANCE_S = MIN_STALL.total_seconds() + 0.05


@pytest.mark.parametrize("seed", range(12))
def test_no_router_takes_its_state_for_newer_than_it_is(seed):
    """The bounds hold only if a follower knows when it has to watch for itself.

    Old replies that a frozen router reads late, and routers that follow each other,
    must not make a state look current.
    """
    random = Random(seed)
    with FollowingFleet(8) as fleet:
        written_at = {1: fleet.seconds}
        for _ in range(60):
            router = random.choice(list(fleet.routers.values()))
            match random.choice(FAULTS):
                case "freeze" | "resume" as action:
                    router.is_frozen = action == "freeze"
                case "cut" | "heal" as action:
                    router.store.is_cut = action == "cut"
                case "down" | "up" as action:
                    fleet.store.is_down = action == "down"
                case "kill" if len(fleet.running()) > 5:
                    router.is_dead = True
                case "put":
                    version = len(written_at) + 1
                    fleet.store.put("config", "main", version)
                    written_at[version] = fleet.seconds
            for _ in range(random.randrange(1, 60)):
                fleet.advance(0.02)
                for running in fleet.running():
                    assert_age_is_true(running, fleet.seconds, written_at)
        for router in fleet.routers.values():
            router.is_frozen = router.store.is_cut = False
        fleet.store.is_down = False
        fleet.advance(5)
        assert time_in_force(fleet, len(written_at) + 1) < 1


def assert_age_is_true(router, now, written_at):
    known = router.spec("config", "main")
    if known is not None and known + 1 in written_at:
        behind = now - written_at[known + 1]
        age = router.mirrors["config"].age.total_seconds()
        assert age >= behind - AGE_TOLERANCE_S


@pytest.mark.parametrize("cut", [1, 2, 3])
def test_changes_are_in_force_while_watchers_are_cut_off_from_the_store(fleet, cut):
    """Their followers reach them, so that only the age of the contact shows it."""
    for router in fleet.watchers_of()[:cut]:
        router.store.is_cut = True
    is_in_force = put(fleet, 2)
    reached = [item for item in fleet.running() if not item.store.is_cut]
    elapsed = fleet.time_until(lambda item: item not in reached or is_in_force(item))
    assert elapsed < CONFIG_BOUND_S
    fleet.advance(5)
    is_in_force = put(fleet, 3)
    elapsed = fleet.time_until(lambda item: item not in reached or is_in_force(item))
    assert elapsed < CONFIG_BOUND_S


def test_a_follower_that_is_cut_off_from_the_store_alone_learns_of_changes(fleet):
    """It did not before, when each router watched for itself."""
    fleet.followers()[0].store.is_cut = True
    fleet.advance(5)
    assert time_in_force(fleet, 2) < 0.2


def test_a_data_centre_that_is_cut_off_keeps_the_last_state(fleet):
    time_in_force(fleet, 2)
    for router in fleet.running():
        router.store.is_cut = True
    fleet.store.delete("servers", "d1")
    fleet.advance(30)
    assert all(item.spec("servers", "d1") for item in fleet.running())
    for router in fleet.running():
        router.store.is_cut = False
    assert time_in_force(fleet, 3) < CONFIG_BOUND_S + 1


def test_a_lost_history_costs_a_list_at_the_watchers_only(fleet):
    """If each follower listed, a compaction would cost calls of the whole fleet."""
    fleet.store.put("servers", "d1", "ready")
    fleet.store.put("servers", "d2", "ready")
    fleet.advance(1)
    fleet.store.calls.clear()
    del fleet.store.objects["servers", "d1"]  # its deletion is in no history
    fleet.store.put("servers", "d3", "ready")
    fleet.store.revision += 1
    fleet.store.compact()
    fleet.advance(1)
    for router in fleet.running():
        assert set(router.mirrors["servers"].object_by_name) == {"d2", "d3"}
    assert fleet.store.calls["list"] <= 3 * 3


def test_after_a_restore_the_new_era_is_in_force_everywhere(fleet):
    """Revisions of the old era are given out again; followed on, they hide changes."""
    copy = fleet.store.copy()
    time_in_force(fleet, 2)
    fleet.store.restore(copy)
    assert time_in_force(fleet, 3) < CONFIG_BOUND_S
    fleet.advance(2)
    assert {item.store.era for item in fleet.running()} == {2}
    assert time_in_force(fleet, 4) < 0.2


def test_a_watcher_that_does_not_know_of_a_restore_is_not_followed():
    with FollowingFleet(16) as fleet:
        fleet.advance(3)
        copy = fleet.store.copy()
        time_in_force(fleet, 2)
        unaware = fleet.watchers_of()[:2]
        for router in unaware:
            router.store.is_cut = True
        fleet.store.restore(copy)
        is_in_force = put(fleet, 3)
        elapsed = fleet.time_until(
            lambda item: item in unaware or is_in_force(item), limit=10
        )
        assert elapsed < CONFIG_BOUND_S
        for _ in range(100):
            fleet.advance(0.05)
            for router in fleet.running():
                assert router in unaware or is_in_force(router)


def test_entries_that_expired_in_an_outage_are_kept_at_followers_too(fleet):
    """Upstreams can't renew their entries then; without them, requests are rejected."""
    fleet.store.put("servers", "d1", "ready")
    fleet.advance(1)
    fleet.store.is_down = True
    fleet.store.end_watches()
    fleet.advance(1.5)
    fleet.store.is_down = False
    fleet.store.delete("servers", "d1")
    fleet.advance(1.2)
    assert all(item.spec("servers", "d1") for item in fleet.running())
    fleet.store.put("servers", "d1", "ready again")
    fleet.advance(4)
    assert all(item.spec("servers", "d1") == "ready again" for item in fleet.running())


def test_recovery_is_noticed_soon_with_fewer_failed_calls():
    """Failed calls are priced; each router made six a second for the three kinds."""
    with FollowingFleet(16) as fleet, FollowingFleet(16, watchers=0) as before:
        calls = {}
        for routers in (fleet, before):
            routers.advance(3)
            routers.store.is_down = True
            routers.store.end_watches()
            routers.advance(5)
            routers.store.calls.clear()
            routers.advance(10)
            calls[routers] = routers.store.calls["watch"] + routers.store.calls["list"]
        assert calls[fleet] < calls[before] / 2
        fleet.store.is_down = False
        assert time_in_force(fleet, 2) < 1


def test_a_router_that_starts_gets_its_lists_from_a_watcher():
    """Routers are replaced one after the other; each would list all kinds."""
    with FollowingFleet(16) as fleet:
        fleet.advance(3)
        is_in_force = put(fleet, 2)
        fleet.advance(1)
        fleet.store.calls.clear()
        fleet.not_ready.add("r99")
        fleet.start("r99")
        assert fleet.time_until(is_in_force) < 0.1
        fleet.advance(2)
        assert fleet.store.calls["list"] == 0


def test_a_router_that_starts_lists_itself_if_no_watcher_answers_at_once():
    """Waiting for a frozen watcher would delay its readiness."""
    with FollowingFleet(16) as fleet:
        fleet.advance(3)
        put(fleet, 2)
        fleet.advance(1)
        for router in fleet.running():
            router.is_frozen = True
        fleet.not_ready.add("r99")
        fleet.start("r99")
        started = fleet.routers["r99"]
        elapsed = fleet.time_until(lambda _: started.spec("config", "main") == 2)
        assert elapsed < 0.2


def test_a_data_centre_that_starts_lists_once():
    with FollowingFleet(0) as fleet:
        fleet.is_view_empty = True
        for number in range(16):
            fleet.start(f"r{number}")
        fleet.time_until(lambda item: item.spec("config", "main") == 1, limit=0.3)
        fleet.is_view_empty = False
        fleet.advance(3)
        assert fleet.store.calls["list"] <= 16 * 3


def test_a_small_data_centre_makes_the_calls_that_it_made_before():
    with FollowingFleet(3) as small, FollowingFleet(3, watchers=0) as before:
        for fleet in (small, before):
            fleet.advance(2)
            time_in_force(fleet, 2)
            fleet.store.is_down = True
            fleet.store.end_watches()
            fleet.advance(10)
        assert small.store.calls == before.store.calls
        assert small.peer_calls == 0
