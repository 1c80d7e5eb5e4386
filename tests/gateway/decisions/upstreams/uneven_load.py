"""Load played to the choices of several routers before engines of unequal speed."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from random import Random

from banyansail.gateway.decisions.upstreams.choice import ServiceDemand, choose
from banyansail.gateway.decisions.upstreams.peer_demand import PeerDemand
from banyansail.gateway.decisions.upstreams.prefix_spread import PrefixSpread
from banyansail.gateway.decisions.upstreams.speed import FleetSpeeds
from banyansail.gateway.decisions.upstreams.upstream_load import (
    ENGINE_BASE_LATENCY,
    PrefillRate,
    UpstreamLoad,
)
from banyansail.traffic.speed_evidence import add_speeds
from tests.gateway.builders import prompt, seconds, upstream

TOKENS_PER_MS = 60.0  # of an engine of speed 1
MEAN_TOKENS = 3000
KV_TOKENS = 100_000
REPORT_INTERVAL = 0.4
REPORT_DELAY = 0.4  # a report is summed and sent on with the next sum
DECODE_S = 0.6
OBJECTIVE_S = 0.4


@dataclass(slots=True, frozen=True)
class Load:
    """What is played; speeds alternate between 1 and `slow`."""

    routers: int
    seed: int
    engines: int = 12
    slow: float = 0.5
    utilisation: float = 0.7
    duration_s: float = 24.0
    warm_up_s: float = 8.0
    passing_noise: float = 0.3  # of the time of a prefill, as its logarithm's deviation
    report_loss: float = 0.0
    cut_off: int = 0  # routers that hear no other
    restart_at_s: float = -1.0  # of the first router, which then knows nothing
    replace_at_s: float = -1.0  # of half of the engines, by ones of the other speed


class Engine:
    """True state of an engine: it prefills one prompt after the other."""

    def __init__(self, speed):
        self.speed = speed
        self.busy_until = 0.0

    def prefill_s(self, tokens):
        return tokens / (TOKENS_PER_MS * 1000 * self.speed)


class Router:
    """Estimates of one router."""

    def __init__(self, upstreams, random):
        rate = PrefillRate()
        self.loads = [UpstreamLoad(item, KV_TOKENS, rate, random) for item in upstreams]
        self.demand = ServiceDemand(PeerDemand(), PrefixSpread())
        self.assigned = 0.0  # tokens

    def replace(self, index, item):
        old = self.loads[index]
        self.loads[index] = UpstreamLoad(item, KV_TOKENS, old.prefill_rate, Random(1))


class Player:
    """Plays a load; `pick` returns the index of the engine for a request."""

    def __init__(self, load: Load, pick, *, is_active=True):
        self.load = load
        self.pick = pick
        self.is_active = is_active
        self.random = Random(load.seed)
        speeds = [load.slow if number % 2 else 1.0 for number in range(load.engines)]
        self.engines = [Engine(speed) for speed in speeds]
        self.upstreams = [
            upstream(f"e{number}", slots=32, started_at=1)
            for number in range(load.engines)
        ]
        self.routers = [
            Router(self.upstreams, self.random) for _ in range(load.routers)
        ]
        self.now = 0.0
        self._events = []
        self._count = 0
        self.first_token_s = []

    def at(self, time, action, *arguments):
        self._count += 1
        heapq.heappush(self._events, (time, self._count, action, arguments))

    def play(self):
        """Return the share of requests whose first token came in time."""
        load = self.load
        capacity = sum(engine.speed for engine in self.engines) * TOKENS_PER_MS * 1000
        self.per_s = load.utilisation * capacity / MEAN_TOKENS
        self.at(0.0, self._arrive)
        self.at(REPORT_INTERVAL, self._report)
        if load.restart_at_s >= 0:
            self.at(load.restart_at_s, self._restart)
        if load.replace_at_s >= 0:
            self.at(load.replace_at_s, self._replace)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        in_time = sum(item <= OBJECTIVE_S for item in self.first_token_s)
        return in_time / len(self.first_token_s)

    def _arrive(self):
        if self.now > self.load.duration_s:
            return
        self.at(self.now + self.random.expovariate(self.per_s), self._arrive)
        router = self.random.choice(self.routers)
        tokens = max(200, int(self.random.expovariate(1 / MEAN_TOKENS)))
        chosen = self.pick(self, router, tokens)
        index, nominal = chosen if isinstance(chosen, tuple) else (chosen, None)
        load, engine = router.loads[index], self.engines[index]
        self._count += 1
        number, sent_at = self._count, self.now
        load.start_attempt(number, tokens, seconds(self.now))
        router.assigned += tokens
        noise = self.random.lognormvariate(0, self.load.passing_noise)
        engine.busy_until = (
            max(self.now, engine.busy_until) + engine.prefill_s(tokens) * noise
        )
        first_at = engine.busy_until + ENGINE_BASE_LATENCY.total_seconds()
        self.at(first_at, self._first_token, load, number, tokens, sent_at, nominal)
        self.at(first_at + DECODE_S, load.end_attempt, number, tokens)

    def _first_token(self, load, number, tokens, sent_at, nominal):
        load.record_first_byte(number, tokens)
        taken = self.now - sent_at
        if sent_at >= self.load.warm_up_s:
            self.first_token_s.append(taken)
        if nominal is not None:
            load.record_speed(nominal, seconds(taken), seconds(self.now))
            backlog = load.pending_prefill_tokens + load.peer_pending_prefill_tokens
            load.prefill_rate.record(tokens + backlog, seconds(taken))

    def _report(self):
        if self.now < self.load.duration_s:
            self.at(self.now + REPORT_INTERVAL, self._report)
        heard = [
            router
            for router in self.routers[self.load.cut_off :]
            if self.random.random() >= self.load.report_loss
        ]
        work = [
            (
                sum(router.loads[index].in_flight for router in heard),
                sum(router.loads[index].pending_prefill_tokens for router in heard),
            )
            for index in range(self.load.engines)
        ]
        assigned = sum(router.assigned for router in heard)
        fleet = {}
        now = seconds(self.now)
        for router in heard:
            add_speeds(fleet, self._own_speeds(router, now))
        for router in heard:
            own = [
                (load.in_flight, load.pending_prefill_tokens) for load in router.loads
            ]
            delay = REPORT_DELAY * (0.5 + self.random.random())
            self.at(self.now + delay, self._hear, router, work, own, fleet, assigned)
        for router in self.routers[: self.load.cut_off]:
            self.at(self.now, self._update_speeds, router, {})

    def _own_speeds(self, router, now):
        return {
            load.upstream.incarnation_name: evidence
            for load in router.loads
            if (evidence := load.speed_estimate.lasting(now)) is not None
        }

    def _hear(self, router, work, own, fleet, assigned):
        others = (assigned - router.assigned) / TOKENS_PER_MS
        router.demand.peers.record_total(others, seconds(self.now))
        for load, total, part in zip(router.loads, work, own, strict=True):
            load.peer_in_flight = max(0, total[0] - part[0])
            load.peer_pending_prefill_tokens = max(0, total[1] - part[1])
        self._update_speeds(router, fleet)

    def _update_speeds(self, router, fleet):
        if not self.is_active:
            return
        own = {load.upstream.incarnation_name: load for load in router.loads}
        estimates = {name: load.speed_estimate for name, load in own.items()}
        speeds = FleetSpeeds(estimates, fleet, seconds(self.now))
        for name, load in own.items():
            load.speed = speeds.speed(name)

    def _restart(self):
        self.routers[0] = Router(self.upstreams, self.random)

    def _replace(self):
        for index in range(self.load.engines // 2):
            engine = self.engines[index]
            speed = self.load.slow if engine.speed == 1 else 1.0
            self.engines[index] = Engine(speed)
            self.upstreams[index] = upstream(f"e{index}", slots=32, started_at=2)
            for router in self.routers:
                router.replace(index, self.upstreams[index])


def by_choice(player, router, tokens):
    """Choose as a router does."""
    chosen = choose(
        router.loads,
        prompt(tokens=tokens, shared=0, request=str(player.now)),
        zone="glasgow",
        now=seconds(player.now),
        random=player.random,
        demand=router.demand if player.is_active else None,
    )
    return router.loads.index(chosen.load), chosen.nominal_latency


def by_oracle(player, router, tokens):
    """Choose by the true speeds and queues."""
    return min(
        range(len(player.engines)),
        key=lambda index: (
            max(player.now, player.engines[index].busy_until)
            + player.engines[index].prefill_s(tokens)
        ),
    )


def by_round_robin(player, router, tokens):
    router.next_index = (getattr(router, "next_index", -1) + 1) % len(router.loads)
    return router.next_index


def _running(router, index):
    return router.loads[index].in_flight + router.loads[index].peer_in_flight


def by_least_requests(player, router, tokens):
    return min(
        range(len(router.loads)),
        key=lambda index: (_running(router, index), player.random.random()),
    )


def by_two_choices(player, router, tokens):
    drawn = player.random.sample(range(len(router.loads)), 2)
    return min(drawn, key=lambda index: _running(router, index))


def share_in_time(load, pick, *, is_active=True) -> float:
    return Player(load, pick, is_active=is_active).play()


def mean_share(pick, routers, *, seeds=(1, 2, 3), is_active=True, **options):
    shares = [
        share_in_time(Load(routers, seed, **options), pick, is_active=is_active)
        for seed in seeds
    ]
    return sum(shares) / len(shares)
