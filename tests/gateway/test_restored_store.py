"""A running gateway whose store is restored from a copy some seconds old."""

from __future__ import annotations

import pytest

from banyansail.gateway.sharing.fleet_link import ROUTERS_KIND
from tests.gateway.live_gateway import LiveGateway, config_body
from tests.live import in_reactor
from tests.processes import wait_until


@pytest.fixture
def live():
    with LiveGateway() as gateway:
        yield gateway


def put_config(live, version):
    in_reactor(
        lambda: live.store.state.put("config", "main", spec=config_body(version))
    )


def test_the_configuration_never_goes_back_and_the_next_one_takes_effect(live):
    copy = in_reactor(live.store.state.copy)
    put_config(live, 2)
    wait_until(lambda: live.gateway.site.version == 2)
    in_reactor(live.store.state.restore, copy)
    wait_until(lambda: live.gateway.store.era == 2)
    put_config(live, 2)  # the operator writes it again, at the revision that it had
    assert live.gateway.site.version == 2
    put_config(live, 3)
    wait_until(lambda: live.gateway.site.version == 3)


def test_upstreams_that_the_copy_lacks_stay_in_use_until_they_return(live):
    running = live.running_by_name["d2"]
    in_reactor(live.store.state.delete, "servers", "d2")
    wait_until(lambda: live.gateway.dispatcher.load_of("d2") is None)
    copy = in_reactor(live.store.state.copy)
    in_reactor(live.announce, "d2", running.address, "ready", 2)
    wait_until(lambda: live.gateway.dispatcher.load_of("d2") is not None)
    in_reactor(live.store.state.restore, copy)
    wait_until(lambda: live.gateway.store.era == 2)
    assert live.gateway.dispatcher.load_of("d2") is not None
    in_reactor(live.announce, "d2", running.address, "ready", 2)
    wait_until(lambda: not live.gateway.mirrors.upstreams.mirror.missing_names)
    assert live.gateway.dispatcher.load_of("d2") is not None


def test_the_router_registers_again(live):
    def is_registered():
        return (ROUTERS_KIND, "front-1") in live.store.state.objects

    copy = in_reactor(live.store.state.copy)
    copy.objects.pop((ROUTERS_KIND, "front-1"), None)
    wait_until(is_registered)
    in_reactor(live.store.state.restore, copy)
    assert not is_registered()
    wait_until(is_registered)
