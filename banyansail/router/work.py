"""Work that a router repeats, and what it tells other routers of itself."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.fleet.entries import Feature, Member, Topic
from banyansail.router.lifecycle import RouterState
from banyansail.wire.gossip_codec import encode_member

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.settings import Settings
    from banyansail.fleet.datagrams import GossipProtocol
    from banyansail.fleet.gossiper import Gossiper
    from banyansail.router.control.rollouts import RolloutController
    from banyansail.router.control.rules_keeper import RulesKeeper
    from banyansail.router.exchanges.scheduler import Scheduler
    from banyansail.router.lifecycle import Lifecycle
    from banyansail.router.upstreams.upstream_signals import UpstreamSignals

PEER_WAIT_TIMEOUT = timedelta(seconds=3)  # for the first gossip of a live router


class RouterWork:
    """Coroutines of a router's tasks.

    Parameters
    ----------
    settings : Settings
        Address, zone and peers of this router.
    clock : Clock
        Source of time.
    lifecycle : Lifecycle
        Whether this router starts, serves or leaves.
    rules_keeper : RulesKeeper
        Rules in force.
    gossiper, gossip : object
        Decides what is sent to other routers, and sends it.
    signals : UpstreamSignals
        Upstreams that leave.
    rollouts : RolloutController
        Moves and their shares.
    scheduler : Scheduler
        Waiting requests and upstreams.
    """

    __slots__ = (
        "_clock",
        "_gossip",
        "_gossiper",
        "_lifecycle",
        "_rollouts",
        "_rules_keeper",
        "_scheduler",
        "_settings",
        "_signals",
        "_started_at",
    )

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        lifecycle: Lifecycle,
        rules_keeper: RulesKeeper,
        gossiper: Gossiper,
        gossip: GossipProtocol,
        signals: UpstreamSignals,
        rollouts: RolloutController,
        scheduler: Scheduler,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._lifecycle = lifecycle
        self._rules_keeper = rules_keeper
        self._gossiper = gossiper
        self._gossip = gossip
        self._signals = signals
        self._rollouts = rollouts
        self._scheduler = scheduler
        self._started_at = clock.monotonic()

    def record_start(self) -> None:
        """Record that the router's process begins to serve."""
        self._started_at = self._clock.monotonic()

    def check_ready(self) -> None:
        """Become ready once the rules are as new as those of the live routers.

        A router with configured peers first waits until it receives gossip from one
        of them, for at most `PEER_WAIT_TIMEOUT`.
        """
        if self._lifecycle.state is not RouterState.STARTING:
            return
        has_live_peer = len(self._gossiper.live_members()) > 1
        waited = self._clock.monotonic() - self._started_at
        if self._rules_keeper.is_up_to_date() and (
            has_live_peer or not self._settings.peers or waited > PEER_WAIT_TIMEOUT
        ):
            self._lifecycle.become_ready()

    def publish_member(self) -> None:
        """Publish the state of this router to the others."""
        settings = self._settings
        member = Member(
            settings.zone,
            settings.region,
            settings.peer,
            self._rules_keeper.rules.version,
            self._rules_keeper.active_since,
            self._lifecycle.is_ready,
            self._lifecycle.state is RouterState.LEAVING,
            features=Feature.ANSWERS_UNKNOWN_CALLS,
        )
        self._gossiper.publish(Topic.MEMBER, encode_member(member))

    def push_entries(self) -> None:
        """Send new gossip entries at once."""
        self._gossip.send(self._gossiper.push())

    async def push_gossip(self) -> None:
        """Push new gossip entries to other routers."""
        self.check_ready()
        self.publish_member()
        self.push_entries()

    async def exchange_digests(self) -> None:
        """Exchange digests with other routers to repair missed entries."""
        self._gossiper.expire_members()
        self._signals.publish_leaving()
        self._gossip.send(self._gossiper.exchange())

    async def plan_moves(self) -> None:
        """Evaluate the moves and set their shares."""
        self._rollouts.plan()
        self._scheduler.assign_waiting()

    async def refresh_suspects(self) -> None:
        """Assign requests again to suspects whose suspect time has ended."""
        self._scheduler.dispatcher.refresh_suspects()
        self._scheduler.assign_waiting()
