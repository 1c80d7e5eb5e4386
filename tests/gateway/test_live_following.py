"""Six running gateways of a data centre, three of which watch the store."""

from __future__ import annotations

import time

import pytest

from tests.gateway.cut_reactor import Cut
from tests.gateway.live_gateway import LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until

WATCH_OPERATIONS = ("watch", "list")
KINDS = ("config", "servers", "rollouts")


def calls_of(gateway):
    """Return how often a gateway listed and watched the three kinds."""
    samples = [
        sample
        for family in gateway.context.metrics.registry.collect()
        for sample in family.samples
        if sample.name == "banyansail_store_calls_total"
    ]
    return sum(
        sample.value
        for sample in samples
        if sample.labels["kind"] in KINDS
        and sample.labels["operation"] in WATCH_OPERATIONS
    )


def put_config(live, version):
    in_reactor(
        lambda: live.store.state.put("config", "main", spec=config_body(version))
    )


def wait_for_version(live, version, gateways=None):
    for gateway in gateways or live.gateways:
        wait_until(lambda: gateway.site.version == version)  # noqa: B023


def followers(live):
    return [
        gateway
        for gateway in live.gateways
        if not in_reactor(lambda: gateway.store_following.role).is_watcher  # noqa: B023
    ]


def wait_for_followers(live):
    """Wait until three routers follow and no longer watch the store themselves."""
    wait_until(lambda: len(followers(live)) == 3)


def count_calls(store_watchers):
    """Return the calls of six gateways while ten configurations come into force."""
    with LiveGateway(routers=6, store_watchers=store_watchers) as live:
        if store_watchers:
            wait_for_followers(live)
        put_config(live, 2)  # ends the watches that followers sent at their start
        in_reactor(live.store.state.put, "rollouts", "other", spec={})
        in_reactor(live.announce, "d9", live.running_by_name["d1"].address)
        wait_for_version(live, 2)
        time.sleep(1)
        before = sum(map(calls_of, live.gateways))
        for version in range(3, 13):
            put_config(live, version)
            wait_for_version(live, version)
            time.sleep(0.1)  # watches are sent again after a pause
        return sum(map(calls_of, live.gateways)) - before


def test_followers_halve_the_calls_of_a_data_centre_of_six_routers():
    """Each change cost a call of every router."""
    without, following = count_calls(0), count_calls(3)
    print(f"calls for ten changes: {without:.0f} without followers, {following:.0f}")
    assert without >= 6 * 10
    assert following <= 3 * 10 + 6


@pytest.fixture
def live():
    with LiveGateway(routers=6, store_watchers=3) as gateways:
        wait_for_followers(gateways)
        yield gateways


def test_a_gateway_that_is_cut_off_from_the_store_follows_the_others(live):
    """Watching for itself it kept the last state until its link was back."""
    port = live.gateway.settings.store.port
    in_reactor(lambda: live.reactor.begin(Cut.HANG, {port}))
    wait_until(lambda: live.gateway.store_probe.is_unreachable)
    put_config(live, 2)
    wait_for_version(live, 2)


def test_the_state_of_a_restored_store_reaches_followers(live):
    copy = in_reactor(live.store.state.copy)
    put_config(live, 2)
    wait_for_version(live, 2)
    in_reactor(live.store.state.restore, copy)
    put_config(live, 3)
    wait_for_version(live, 3)
    wait_until(lambda: {item.store.era for item in live.gateways} == {2})


def test_a_watch_that_missed_a_configuration_is_sent_again():
    """Guards against watches that stay on silent connections while others answer."""
    with LiveGateway(routers=3) as live:
        time.sleep(1.5)  # watches and a probe are under way
        port = live.gateway.settings.store.port
        in_reactor(live.reactor.silence, {port}, is_busy=True)
        in_reactor(live.announce, "d9", live.running_by_name["d1"].address)
        put_config(live, 2)
        wait_for_version(live, 2)
        wait_until(lambda: live.gateway.dispatcher.load_of("d9"), timeout=5)
