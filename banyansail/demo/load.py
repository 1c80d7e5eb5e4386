"""Generates a load of questions, drafts, lookups and orders, and checks each answer."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet import defer, task
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from banyansail.standins.engine_state import answer_text
from banyansail.upstreams.body import JsonBody

if TYPE_CHECKING:
    from banyansail.clock import Clock
    from banyansail.config.fields import Address

RESEND_DELAY = timedelta(milliseconds=300)
MAX_RESENDS = 10


@dataclass(slots=True)
class KindResult:
    """Outcome of the requests of one kind.

    Parameters
    ----------
    latencies : list of timedelta
        Time to the complete answer, including resends.
    lost : int
        Requests that were accepted and never answered completely.
    """

    sent: int = 0
    answered: int = 0
    refused: int = 0
    unknown: int = 0
    lost: int = 0
    latencies: list[timedelta] = field(default_factory=list)

    def percentile(self, share: float) -> timedelta:
        """Return a percentile of the latencies."""
        if not self.latencies:
            return timedelta(0)
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


@dataclass(slots=True, frozen=True)
class CallResult:
    """Answer to one call; status 0 means that no complete answer was received."""

    status: int
    body: bytes
    run_status: str


class LoadGenerator:
    """Sends requests to randomly chosen routers, as a load balancer would.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Source of time.
    addresses : list of Address
        Addresses on which the routers accept callers; may be changed under load.
    random : Random
        Source of randomness.
    """

    def __init__(
        self, reactor: Any, clock: Clock, addresses: list[Address], random: Random
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self.addresses = addresses
        self._random = random
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = 100
        pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=2, pool=pool)
        self._pool = pool
        self._request_count = 0
        self.result_by_kind: dict[str, KindResult] = {}
        self.order_keys: list[str] = []
        self.pending: set[defer.Deferred[None]] = set()

    def close(self) -> defer.Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    def result(self, kind: str) -> KindResult:
        """Return the results of a kind so far."""
        return self.result_by_kind.setdefault(kind, KindResult())

    def send(self, kind: str) -> None:
        """Start one request of a kind."""
        self._request_count += 1
        coroutine = getattr(self, f"_send_{kind}")(self._request_count)
        done = defer.Deferred.fromCoroutine(self._track(kind, coroutine))
        self.pending.add(done)
        done.addBoth(lambda result: self.pending.discard(done))

    async def drain(self) -> None:
        """Wait until every request has ended."""
        while self.pending:
            await task.deferLater(self._reactor, 0.05)

    async def _track(self, kind: str, coroutine: Any) -> None:
        result = self.result(kind)
        result.sent += 1
        started_at = self._clock.monotonic()
        outcome = await coroutine
        setattr(result, outcome, getattr(result, outcome) + 1)
        if outcome == "answered":
            result.latencies.append(self._clock.monotonic() - started_at)

    async def _send_question(self, number: int) -> str:
        prompt = f"counter question {number}: which blade fits clipper {number % 7}?"
        return await self._complete(prompt, 12, "counter", stream=False)

    async def _send_draft(self, number: int) -> str:
        prompt = f"draft {number}: range review of shop {number % 5}, in full"
        return await self._complete(prompt, 120, "drafts", stream=True)

    async def _complete(
        self, prompt: str, tokens: int, workspace: str, *, stream: bool
    ) -> str:
        body = {
            "model": "advisor-llm",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        path = "/v1/chat/completions"
        result = await self._call("POST", path, body, workspace)
        if result.status != 200:
            return "lost" if result.status in (0, 502, 504) else "refused"
        text = _stream_text(result.body) if stream else _answer_text(result.body)
        return "answered" if text == answer_text(prompt, tokens) else "lost"

    async def _send_lookup(self, number: int) -> str:
        sku = "clip" + "x" * (number % 5)
        path = f"/depot-app/stock/{sku}"
        result = await self._call("GET", path, None, "depot")
        if result.status != 200:
            return "lost" if result.status in (0, 502, 504) else "refused"
        is_correct = json.loads(result.body)["stock"] == len(sku)
        return "answered" if is_correct else "lost"

    async def _send_order(self, number: int) -> str:
        key = f"order-{number}"
        self.order_keys.append(key)
        for _ in range(MAX_RESENDS):
            result = await self._call(
                "POST",
                "/depot-app/orders",
                {"order": number},
                "depot",
                {"idempotency-key": key},
            )
            if result.status == 200:
                return "answered"
            if result.run_status == "unknown" and result.status != 0:
                return "unknown"
            delay = RESEND_DELAY.total_seconds() * (1 + self._random.random())
            await task.deferLater(self._reactor, delay)
        return "refused"

    async def _call(
        self,
        method: str,
        path: str,
        body: Any,
        workspace: str,
        extra_headers: dict[str, str] | None = None,
    ) -> CallResult:
        address = self._random.choice(self.addresses)
        header_fields = {"x-workspace": workspace, **(extra_headers or {})}
        headers = Headers({name: [value] for name, value in header_fields.items()})
        producer = None if body is None else JsonBody(body)
        try:
            response = await self._agent.request(
                method.encode(), f"http://{address}{path}".encode(), headers, producer
            )
            text = await readBody(response)
        except Exception:  # any failure of the connection means an incomplete answer
            return CallResult(0, b"", "unknown")
        run_status = response.headers.getRawHeaders("x-ran", [""])[0]
        return CallResult(response.code, text, run_status)


def _answer_text(body: bytes) -> str:
    return json.loads(body)["choices"][0]["message"]["content"]


def _stream_text(body: bytes) -> str:
    events = body.decode().split("\n\n")
    if "data: [DONE]" not in events:
        return ""
    chunks = [
        json.loads(event.partition("data: ")[2])
        for event in events
        if event.startswith("id: ")
    ]
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
