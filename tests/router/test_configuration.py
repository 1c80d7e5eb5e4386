"""Tests of rules: active everywhere within seconds, and never an older version."""

from __future__ import annotations

import time

import pytest

from banyansail.config.rule_store import read_rules
from tests.live import LiveSite, in_reactor
from tests.processes import wait_until

ZONES = ("glasgow", "edinburgh", "aberdeen")


@pytest.fixture
def site():
    with LiveSite() as live:
        live.service("s0")
        live.start(
            *(f"r{n}:{('glasgow', 'edinburgh', 'aberdeen')[n % 3]}" for n in range(9))
        )
        yield live


def versions(live: LiveSite) -> list[int]:
    routers = live.site.router_by_name.values()
    return [item.rules_keeper.rules.version for item in routers]


def cut_off_platform(router) -> None:
    """Make the platform unreachable for a router."""
    in_reactor(setattr, router.platform, "_base", "http://127.0.0.1:1")


def test_change_is_in_force_everywhere(site):
    for _ in range(3):
        version = site.apply()
        wait_until(lambda wanted=version: set(versions(site)) == {wanted})


def test_routers_cut_off_from_the_platform_learn_from_peers(site):
    for name in ("r1", "r4", "r8"):
        cut_off_platform(site.site.router_by_name[name])
    version = site.apply()
    wait_until(lambda: set(versions(site)) == {version})


def test_lagging_read_never_brings_an_older_version_back(site):
    version = site.apply()
    wait_until(lambda: set(versions(site)) == {version})
    site.platform_faults(stale_reads=50)
    for router in site.site.router_by_name.values():
        in_reactor(router.rules_keeper.poll)
    assert set(versions(site)) == {version}


def test_restart_during_an_outage_gets_the_newest_from_peers(site):
    version = site.apply()
    wait_until(lambda: set(versions(site)) == {version})
    site.platform_faults(outage=True)
    in_reactor(site.site.router_by_name.pop("r2").stopService)
    site.router("r2", "aberdeen")
    wait_until(lambda: versions(site)[-1] == version)
    assert site.call("GET", "/depot-app/stock/a", router="r2")[0] == 200


def test_new_router_with_a_stale_platform_read_gets_newer_rules_from_peers(site):
    version = site.apply()
    wait_until(lambda: set(versions(site)) == {version})
    site.platform_faults(stale_reads=1)
    late = site.router("late", "glasgow")
    seen: set[tuple[bool, int]] = set()

    def record_state() -> bool:
        state = (late.lifecycle.is_ready, late.rules_keeper.rules.version)
        seen.add(state)
        return state == (True, version)

    wait_until(lambda: in_reactor(record_state))
    assert not any(ready and rules_version < version for ready, rules_version in seen)


def test_router_without_rules_is_not_ready():
    with LiveSite() as live:
        live.router("r0")
        status, headers, _ = live.call("GET", "/depot-app/stock/a")
        assert (status, headers["x-ran"]) == (503, "not_run")
        assert live.call("GET", "/health")[0] == 503


def test_platform_watches_do_not_grow_with_the_routers_of_a_zone(site):
    """Of nine routers in three zones, two per zone watch; the others do not read."""
    calls = site.site.platform_state.calls
    wait_until(lambda: set(versions(site)) == {1})
    time.sleep(1)
    before = dict(calls)
    for _ in range(5):
        version = site.apply()
        wait_until(lambda wanted=version: set(versions(site)) == {wanted})
    watches = calls["watch"] - before["watch"]
    # Each change completes all watches, which restart; notice watches may time out too.
    assert watches <= 5 * 2 * 3 + 6


def test_operators_race_and_one_wins(site):
    async def race() -> list[object]:
        from twisted.internet import defer

        attempts = [
            defer.Deferred.fromCoroutine(
                site.site.apply_rules(site.rules, name, expected=before)
            )
            for name in ("isla", "ewan")
        ]
        return await defer.DeferredList(attempts, consumeErrors=True)

    before = versions(site)[0]
    outcomes = in_reactor(race)
    assert sorted(done for done, _ in outcomes) == [False, True]
    wait_until(lambda: set(versions(site)) == {before + 1})
    current, _ = in_reactor(read_rules, site.site.operator)
    assert current.operator in ("isla", "ewan")


def test_rejected_rules_leave_the_old_ones_in_force(site):
    async def write_nonsense() -> None:
        stored = await site.site.operator.get("rules", 1)
        body = {**stored.body, "text": "nonsense\n"}
        await site.site.operator.put("rules", body, stored.version, 1)

    before = versions(site)[0]
    in_reactor(write_nonsense)
    time.sleep(1)
    assert set(versions(site)) == {before}
    assert site.call("GET", "/depot-app/stock/a")[0] == 200
