"""Runs a coroutine that talks to the platform, and stops the reactor after it."""

from __future__ import annotations

import json
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from twisted.internet import defer, reactor
from twisted.web.client import Agent, readBody

from banyansail.clock import SystemClock
from banyansail.config.fields import parse_address
from banyansail.config.findings import Finding
from banyansail.coordination.budget import CallBudget
from banyansail.coordination.client import PlatformClient
from banyansail.exceptions import ConfigError, PlatformUnavailableError

Outcome = TypeVar("Outcome")

OPERATOR_CALLS_PER_S = 20.0
READ_TIMEOUT_S = 5.0


def run_with_platform(
    address: str, act: Callable[[PlatformClient], Coroutine[Any, Any, Outcome]]
) -> Outcome:
    """Run a coroutine function that uses the platform; return its outcome."""

    async def run() -> Outcome:
        budget = CallBudget(OPERATOR_CALLS_PER_S, OPERATOR_CALLS_PER_S, SystemClock())
        parsed = _parse(address, "--platform")
        with PlatformClient(reactor, parsed, budget) as platform:
            return await act(platform)

    return run_coroutine(run)


def run_coroutine(act: Callable[[], Coroutine[Any, Any, Outcome]]) -> Outcome:
    """Run a coroutine function in the reactor; return or raise its outcome."""
    outcome: list[Any] = []

    def start() -> None:
        done = defer.Deferred.fromCoroutine(act())
        done.addBoth(outcome.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    result = outcome[0]
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


def read_router(address: str, path: str) -> Any:
    """Return the JSON that a router's admin listener answers with."""

    async def run() -> Any:
        agent = Agent(reactor, connectTimeout=READ_TIMEOUT_S)
        parsed = _parse(address, "--router")
        try:
            response = await agent.request(b"GET", f"http://{parsed}{path}".encode())
            return json.loads(await readBody(response))
        except Exception as error:
            raise PlatformUnavailableError(f"router {address}: {error}") from error

    return run_coroutine(run)


def _parse(text: str, option: str) -> Any:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError([Finding(option, 1, 1, str(error))]) from None
