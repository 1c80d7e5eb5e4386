"""Connections to the store that fall silent without a close, while new ones work."""

from __future__ import annotations

from datetime import timedelta

import pytest
from twisted.internet import defer, reactor

from banyansail.clock import SystemClock
from banyansail.config.fields import Address
from banyansail.exceptions import PlatformUnavailableError
from banyansail.gateway.store.mirror import Mirror
from banyansail.gateway.store.store_probe import StoreProbe
from banyansail.gateway.tasks import PROBE_INTERVAL
from banyansail.platform.store import StoreClient
from banyansail.standins.server import start_standin
from banyansail.standins.store import StoreStandin
from banyansail.standins.web import sleep
from tests.live import in_reactor, run_reactor

CONTACT_S = 3.0  # after a disturbance, a router is expected to be in touch again


class KeepAliveStore(StoreStandin):
    """Store that says how long it keeps idle connections."""

    async def handle(self, request):
        request.setHeader("keep-alive", "timeout=30")
        await super().handle(request)


class Follower:
    """Client, probe and mirror of a router, beside the store."""

    def __init__(self, resource, probe_interval_s):
        self._probe_interval_s = probe_interval_s
        self.running = start_standin(resource, Address("127.0.0.1", 0))
        self.clock = SystemClock()
        self.store = StoreClient(reactor, self.clock, self.running.address)
        self.probe = StoreProbe(self.store, "routers", "front-1")
        self.mirror = Mirror("config", self.store, self.clock, lambda mirror: None)
        self.state = resource.state
        self._is_stopped = False

    async def start(self):
        self.state.put("config", "main", spec=1)
        await self.mirror.follow()
        await self.probe.probe()
        self._tasks = [
            defer.Deferred.fromCoroutine(self._follow()),
            defer.Deferred.fromCoroutine(self._probe()),
        ]

    async def _follow(self):
        while not self._is_stopped:
            try:
                await self.mirror.follow()
            except PlatformUnavailableError:
                await sleep(0.1)

    async def _probe(self):
        while not self._is_stopped:
            await sleep(self._probe_interval_s)
            sent_at = self.clock.monotonic()
            await self.probe.probe()
            if not self.probe.is_unreachable:
                self.mirror.confirmation.confirm_by_contact(sent_at)

    def silence(self):
        self.running.site.stall_connections()

    def spec(self):
        return self.mirror.object_by_name["main"].spec

    def stop(self):
        self._is_stopped = True
        self.store.cancel_watches()
        for task in self._tasks:
            task.addErrback(lambda failure: None)
            task.cancel()
        self.store.close()
        self.running.kill()


async def follow_a_silence(wait_s, lateness_s):
    """Return the state at the end of the time that a router has to be in touch again.

    The connections fall silent so long after the last probe.
    """
    follower = Follower(StoreStandin(), PROBE_INTERVAL.total_seconds() + lateness_s)
    await follower.start()
    await sleep(wait_s)
    follower.silence()
    follower.state.put("config", "main", spec=2)
    await sleep(CONTACT_S)
    seen = follower.spec()
    follower.stop()
    return seen


# Probes of a busy process are late, so that an idle connection is not used again.
@pytest.mark.parametrize("lateness_s", [0.0, 0.3])
@pytest.mark.parametrize("wait_s", [0.1, 0.5, 0.9, 1.05, 2.5])
def test_a_change_is_known_in_time_after_all_connections_fell_silent(
    wait_s, lateness_s
):
    """Guards against a probe on a new connection that vouches for a silent watch."""
    run_reactor()
    assert in_reactor(follow_a_silence, wait_s, lateness_s) == 2


async def call_after_a_silence_and_a_rejection():
    """Return the state of an object that is read once the store serves again."""
    resource = KeepAliveStore()
    resource.state.put("config", "main", spec=1)
    running = start_standin(resource, Address("127.0.0.1", 0))
    store = StoreClient(reactor, SystemClock(), running.address)
    await store.check("routers", "front-1")
    calls = [defer.Deferred.fromCoroutine(store.get("config", "x")) for _ in range(3)]
    await defer.gatherResults(calls)
    running.site.stall_connections()
    resource.faults.is_down = True
    with pytest.raises(PlatformUnavailableError):
        await store.check("routers", "front-1")
    resource.faults.is_down = False
    await sleep(0.1)
    await store.check("routers", "front-1")
    try:
        return (await store.get("config", "main")).spec
    except PlatformUnavailableError:
        return None
    finally:
        store.close()
        running.kill()


def test_a_rejection_over_a_new_connection_does_not_vouch_for_older_ones():
    """Guards against stalled connections that stay in use as the store was away too."""
    run_reactor()
    assert in_reactor(call_after_a_silence_and_a_rejection) == 1


async def call_after_a_silence():
    """Return how long the second call took after the first one met a silence."""
    running = start_standin(KeepAliveStore(), Address("127.0.0.1", 0))
    clock = SystemClock()
    store = StoreClient(reactor, clock, running.address)
    calls = [defer.Deferred.fromCoroutine(store.get("config", "x")) for _ in range(3)]
    await defer.gatherResults(calls)
    running.site.stall_connections()
    with pytest.raises(PlatformUnavailableError):
        await store.get("config", "x")
    started_at = clock.monotonic()
    try:
        await store.get("config", "x")
    except PlatformUnavailableError:
        return timedelta.max
    finally:
        store.close()
        running.kill()
    return clock.monotonic() - started_at


def test_a_call_that_was_not_answered_ends_the_use_of_idle_connections_as_old():
    """Guards against calls that fail one after the other, each on a silent one."""
    run_reactor()
    assert in_reactor(call_after_a_silence) < timedelta(seconds=1)
