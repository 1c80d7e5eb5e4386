"""Kinds of faults; each is a class with what it draws, does and undoes."""

from __future__ import annotations

import signal
import time
from dataclasses import asdict
from enum import Enum
from typing import TYPE_CHECKING, Any, ClassVar

from benchmarks.soak.records import Fault, Framing
from benchmarks.soak.switches import (
    Break,
    Continuation,
    Extra,
    ExtraSwitch,
    ExtraTime,
    StreamSwitch,
)
from tests.gateway.cut_reactor import Cut

if TYPE_CHECKING:
    from random import Random

    from benchmarks.soak.fleet import Fleet

RESTART_PAUSE_S = 0.1
LEAVING_NOTICE_S = 0.7
ALL_ROUTERS = "all routers"
THE_STORE = "store"
EXTRA_SHARE = 0.1  # of the answers of a faulty upstream
STORE_SHARE = 0.8  # of the silences, which take the connections to the store


class Scope(Enum):
    """What a fault takes hold of; two faults of a scope don't overlap at a target."""

    ANSWERS = "answers of an upstream"
    CONTINUATIONS = "continuations at an engine"
    EXTRA = "bytes beyond the answers of an upstream"
    COPIES = "copies of the rejections of an upstream"
    REJECTIONS = "rejections of an upstream after a run"
    ADMISSION = "admission at an upstream"
    UPSTREAM = "process of an upstream"
    ROUTER = "process of a router"
    LINKS = "links of a router to all upstreams"
    SERVICE = "admission at all upstreams of a service"
    FLEET = "processes of all routers"
    STORE = "store"
    CONNECTIONS = "open connections of all routers"


class FaultKind:
    """Base of all kinds.

    To add a kind, derive from it and add the class to `KIND_BY_NAME`.
    """

    name: ClassVar[str]
    scope: ClassVar[Scope]
    weight: ClassVar[int] = 2
    duration_s: ClassVar[tuple[float, float]] = (1.0, 4.0)

    def draw(self, random: Random) -> dict[str, Any]:
        """Return the options of a fault of this kind."""
        return {}

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Strike a fault."""
        raise NotImplementedError

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """End a fault."""


class SwitchedAnswers(FaultKind):
    """Base of kinds that set a switch of upstreams to what was drawn, or to true."""

    switch: ClassVar[str]

    def targets(self, fleet: Fleet, fault: Fault) -> list[str]:
        """Return the upstreams whose switch is set."""
        return [fault.target]

    def value(self, fault: Fault) -> Any:
        """Return what the switch is set to."""
        return fault.options or True

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Set the switch."""
        for name in self.targets(fleet, fault):
            fleet.switch(name, **{self.switch: self.value(fault)})

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Reset the switch."""
        for name in self.targets(fleet, fault):
            fleet.switch(name, **{self.switch: None if fault.options else False})


class BrokenStreams(SwitchedAnswers):
    """Answers that break off after some events."""

    name = "broken streams"
    scope = Scope.ANSWERS
    switch = "stream"
    weight = 8

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw the framing, the place and the form of the break."""
        return asdict(
            StreamSwitch(
                random.choice(list(Framing)),
                random.randint(0, 12),
                random.random() < 0.3,
                random.choice(list(Break)),
            )
        )


class UnusualFraming(BrokenStreams):
    """Answers in full whose length is told in another way."""

    name = "unusual framing"
    weight = 3

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw the framing."""
        return asdict(StreamSwitch(random.choice((Framing.LENGTH, Framing.NONE))))


class FailedContinuations(SwitchedAnswers):
    """Continuations that are answered otherwise than with the rest."""

    name = "failed continuations"
    scope = Scope.CONTINUATIONS
    switch = "continuation"
    weight = 8
    answers: ClassVar = [
        item
        for item in Continuation
        if item not in (Continuation.ANEW, Continuation.EMPTY)
    ]

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw the answer."""
        return {"answer": random.choice(self.answers)}

    def value(self, fault: Fault) -> Any:
        """Return the answer."""
        return fault.options["answer"]


class RepeatedEvents(FailedContinuations):
    """Continuations that begin anew, with the ids of earlier events."""

    name = "repeated events"
    weight = 1
    answers = [Continuation.ANEW]


class EmptyContinuations(FailedContinuations):
    """Continuations that end as complete without an event, as if none was left."""

    name = "empty continuations"
    weight = 1
    answers = [Continuation.EMPTY]


class ExtraBytes(SwitchedAnswers):
    """An upstream that sends bytes beyond some of its complete answers."""

    name = "extra bytes"
    scope = Scope.EXTRA
    switch = "extra"
    weight = 6

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw the bytes and when they are sent."""
        extra, time_ = random.choice(list(Extra)), random.choice(list(ExtraTime))
        return asdict(ExtraSwitch(extra, time_, EXTRA_SHARE))


class RejectionsAfterRun(SwitchedAnswers):
    """An upstream that runs requests and answers 503, which states no rejection."""

    name = "rejections after a run"
    scope = Scope.REJECTIONS
    switch = "rejects_after_run"
    duration_s = (0.5, 1.5)


class CopiedRejections(SwitchedAnswers):
    """An upstream whose rejections come again, before the next answer."""

    name = "copied rejections"
    scope = Scope.COPIES
    switch = "copies_rejections"
    weight = 4


class FullUpstream(SwitchedAnswers):
    """An upstream that rejects all requests as not run."""

    name = "full upstream"
    scope = Scope.ADMISSION
    switch = "is_full"
    weight = 3
    duration_s = (0.2, 2.0)


class FullService(SwitchedAnswers):
    """A service whose upstreams all reject all requests as not run."""

    name = "full service"
    scope = Scope.SERVICE
    switch = "is_full"
    duration_s = (3.0, 8.0)

    def targets(self, fleet: Fleet, fault: Fault) -> list[str]:
        """Return the upstreams of the service."""
        return fleet.upstreams_of(fault.target)


class CrashedUpstream(FaultKind):
    """An upstream that crashes and comes back."""

    name = "crashed upstream"
    scope = Scope.UPSTREAM
    duration_s = (0.2, 3.0)

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Kill the upstream."""
        fleet.kill(fault.target)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Start the upstream again."""
        fleet.start_upstream(fault.target)


class ReusedAddress(FaultKind):
    """An upstream whose address another one has at once, beside the old entry."""

    name = "reused address"
    scope = Scope.UPSTREAM
    weight = 6
    duration_s = (2.5, 3.5)

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Kill the upstream, and start the other one, which copies rejections."""
        fleet.kill(fault.target)
        fleet.start_successor(fault.target)
        fleet.switch(fault.target, copies_rejections=True)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Let the upstream have its address again."""
        fleet.end_successor(fault.target)
        fleet.start_upstream(fault.target)


class LeavingUpstream(FaultKind):
    """An upstream that announces its end, so that its runs move."""

    name = "leaving upstream"
    scope = Scope.UPSTREAM
    duration_s = (1.5, 4.0)
    weight = 4

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Announce the end."""
        leaves_ms = int(LEAVING_NOTICE_S * 1000)
        fleet.register(fault.target, state="draining", leaves_ms=leaves_ms, seq=2)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Kill the upstream, and start its successor."""
        fleet.kill(fault.target)
        fleet.unregister(fault.target)
        time.sleep(RESTART_PAUSE_S)
        fleet.start_upstream(fault.target)


class StoppedRouter(FaultKind):
    """A router that is stopped as planned, with streams open."""

    name = "stopped router"
    scope = Scope.ROUTER

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Stop the router."""
        fleet.signal(fault.target, signal.SIGTERM)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Let it end, and start it again."""
        fleet.stop(fault.target)
        fleet.start_router(fault.target)


class KilledRouter(FaultKind):
    """A router that is killed with bytes unsent."""

    name = "killed router"
    scope = Scope.ROUTER
    duration_s = (0.1, 1.5)

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Kill the router."""
        fleet.kill(fault.target)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Start the router again."""
        fleet.start_router(fault.target)


class KilledFleet(FaultKind):
    """All routers, killed at once, so that none remembers what they sent."""

    name = "killed fleet"
    scope = Scope.FLEET
    duration_s = (0.1, 1.0)

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Kill the routers."""
        for name in fleet.router_by_name:
            fleet.kill(name)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Start the routers again."""
        for name in fleet.router_by_name:
            fleet.start_router(name, waits=False)


class FrozenRouter(FaultKind):
    """A router whose process is frozen for some time."""

    name = "frozen router"
    scope = Scope.ROUTER
    duration_s = (0.2, 3.0)

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Freeze the router."""
        fleet.signal(fault.target, signal.SIGSTOP)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Let the router go on."""
        fleet.signal(fault.target, signal.SIGCONT)


class CutOffRouter(FaultKind):
    """A router that reaches no upstream, so that it relays through another."""

    name = "cut-off router"
    scope = Scope.LINKS
    weight = 3

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw what becomes of the connections."""
        return {"cut": random.choice(list(Cut)).value}

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Cut the links of the router."""
        fleet.cut_off(fault.target, Cut(fault.options["cut"]))

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Let the router reach the upstreams."""
        fleet.heal(fault.target)


class Drill(FaultKind):
    """A store that is away for a moment and comes back from a copy of before."""

    name = "drill"
    scope = Scope.STORE
    weight = 1
    duration_s = (0.1, 0.2)

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw how long the store is away, and the age of the copy."""
        return {
            "away_s": random.uniform(0.1, 1.0),
            "copy_age_s": random.uniform(0.5, 4.0),
        }

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Let the store go and come back."""
        fleet.drill(**fault.options)


class DarkFleet(KilledFleet):
    """All routers, which lose power at once: nothing is closed until they return."""

    name = "dark fleet"
    weight = 1

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Let all routers say nothing more."""
        for name in fleet.router_by_name:
            fleet.signal(name, signal.SIGSTOP)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Start the routers again, without what they knew."""
        super().begin(fleet, fault)
        super().end(fleet, fault)


class SilentConnections(FaultKind):
    """Open connections of all routers that say nothing more, without a close."""

    name = "silent connections"
    scope = Scope.CONNECTIONS
    duration_s = (0.1, 0.2)

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw which connections fall silent."""
        to_store = random.random() < STORE_SHARE
        return {
            "to_store": to_store,
            "to_routers": not to_store or random.random() < 0.5,
        }

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Silence the connections."""
        fleet.silence_connections(**fault.options)


class DisturbedStore(FaultKind):
    """A store that is away, loses answers of writes or cuts its history."""

    name = "disturbed store"
    scope = Scope.STORE
    faults: ClassVar = (
        {"is_down": True},
        {"lost_share": 0.5},
        {"has_no_history": True},
    )

    def draw(self, random: Random) -> dict[str, Any]:
        """Draw what is wrong with it."""
        return dict(random.choice(self.faults))

    def begin(self, fleet: Fleet, fault: Fault) -> None:
        """Disturb the store."""
        fleet.disturb_store(**fault.options)

    def end(self, fleet: Fleet, fault: Fault) -> None:
        """Let the store serve."""
        fleet.disturb_store(
            **{name: type(value)() for name, value in fault.options.items()}
        )


KIND_BY_NAME: dict[str, FaultKind] = {
    item.name: item()
    for item in (
        BrokenStreams,
        UnusualFraming,
        FailedContinuations,
        RepeatedEvents,
        EmptyContinuations,
        ExtraBytes,
        CopiedRejections,
        RejectionsAfterRun,
        FullUpstream,
        FullService,
        CrashedUpstream,
        ReusedAddress,
        LeavingUpstream,
        StoppedRouter,
        KilledRouter,
        KilledFleet,
        FrozenRouter,
        CutOffRouter,
        Drill,
        DarkFleet,
        SilentConnections,
        DisturbedStore,
    )
}
