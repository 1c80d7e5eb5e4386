"""Builders of tickets, upstream rules and dispatchers for routing tests."""

from __future__ import annotations

from datetime import timedelta
from random import Random

from banyansail.config.fields import Address
from banyansail.config.rule_parser import parse_rules
from banyansail.config.rules import ServiceKind, UpstreamRule
from banyansail.routing.dispatch import Dispatcher
from banyansail.routing.request_types import RequestClass, Ticket
from tests.fakes import FakeClock

LATENCY_TARGET = timedelta(milliseconds=330)
RULES = """\
service llm kind=model latency=330ms  # i: x
workspace big weight=3  # i: x
workspace small weight=1  # i: x
limit llm queue=100  # i: x
"""


class FakeZoneLatency:
    """Zones whose names start with "far" are 20 ms away, other remote zones 1 ms."""

    def to_zone(self, zone: str) -> timedelta:
        if zone == "home":
            return timedelta(0)
        return timedelta(milliseconds=20 if zone.startswith("far") else 1)


def new_ticket(
    number: int = 0,
    *,
    priority: int = 0,
    workspace: str = "small",
    deadline: float = 2000,
    is_repeatable: bool = True,
    **fields,
) -> Ticket:
    request_class = RequestClass(
        "llm",
        ServiceKind.MODEL,
        "POST /x",
        workspace,
        is_repeatable,
        priority,
        timedelta(seconds=10),
    )
    return Ticket(
        f"request-{number}",
        request_class,
        timedelta(seconds=1000),
        timedelta(seconds=deadline),
        **fields,
    )


def upstream_rule(name: str, zone: str = "home", version: str = "v1", **fields):
    return UpstreamRule(name, "llm", version, Address("127.0.0.1", 1), zone, **fields)


def new_dispatcher(
    rules: list[UpstreamRule], clock: FakeClock | None = None, seed: int = 1
) -> Dispatcher:
    dispatcher = Dispatcher(
        "home", FakeZoneLatency(), clock or FakeClock(), Random(seed)
    )
    dispatcher.apply_rules(parse_rules(RULES)[0])
    dispatcher.apply_upstreams({rule.name: rule for rule in rules})
    return dispatcher
