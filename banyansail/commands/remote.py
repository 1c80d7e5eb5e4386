"""Running of coroutines that call the platform or a router in a temporary reactor."""

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

Result = TypeVar("Result")

CALL_RATE_LIMIT_PER_S = 20.0
CONNECT_TIMEOUT_S = 5.0


def run_with_platform(
    address: str, operation: Callable[[PlatformClient], Coroutine[Any, Any, Result]]
) -> Result:
    """Run a coroutine function with a client of the platform; return its result."""

    async def run() -> Result:
        budget = CallBudget(CALL_RATE_LIMIT_PER_S, CALL_RATE_LIMIT_PER_S, SystemClock())
        parsed_address = _parse_option_address(address, "--platform")
        with PlatformClient(reactor, parsed_address, budget) as platform:
            return await operation(platform)

    return run_coroutine(run)


def run_coroutine(operation: Callable[[], Coroutine[Any, Any, Result]]) -> Result:
    """Run a coroutine function in the reactor; return its result or raise its error.

    The reactor is stopped afterwards.
    """
    results: list[Any] = []

    def start() -> None:
        done = defer.Deferred.fromCoroutine(operation())
        done.addBoth(results.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    result = results[0]
    if hasattr(result, "raiseException"):
        result.raiseException()
    return result


def fetch_router_json(address: str, path: str) -> Any:
    """Return the JSON answer of a router's admin listener."""

    async def run() -> Any:
        agent = Agent(reactor, connectTimeout=CONNECT_TIMEOUT_S)
        parsed_address = _parse_option_address(address, "--router")
        try:
            response = await agent.request(
                b"GET", f"http://{parsed_address}{path}".encode()
            )
            return json.loads(await readBody(response))
        except Exception as error:
            raise PlatformUnavailableError(
                f"router {address}: GET {path} failed: {error}"
            ) from error

    return run_coroutine(run)


def _parse_option_address(text: str, option: str) -> Any:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError([Finding(option, 1, 1, str(error))]) from None
