"""Stand-in for a model engine: batching, prefix cache, resumable streams, orders.

Tokens are a pure function of the prompt and their index, so that a test can check
that a resumed answer is complete.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.web.server import Request

from banyansail.standins.engine_state import (
    CACHED_PREFIXES,
    DEFAULT_MAX_TOKENS,
    EngineState,
    prompt_text,
    token_text,
)
from banyansail.standins.web import (
    StandinResource,
    TrackingSite,
    answer_json,
    is_open,
    read_json,
    request_path,
    sleep,
)


class EngineStandin(StandinResource):
    """HTTP interface of an engine.

    Parameters
    ----------
    state : EngineState
        State of the engine.
    crash : callable
        Called when a request crashes the engine.
    clock : object
        Provider of ``seconds()``, such as the reactor.
    """

    def __init__(
        self, state: EngineState, crash: Callable[[], None], clock: Any
    ) -> None:
        super().__init__()
        self.state = state
        self.site: TrackingSite | None = None
        self._crash = crash
        self._clock = clock

    async def handle(self, request: Request) -> None:
        """Answer one call."""
        path = request_path(request)
        match path.strip("/").split("/"):
            case ["v1", "chat", "completions"]:
                await self._complete(request)
            case ["load" | "health"]:
                answer_json(request, self._report_load())
            case ["requests", request_id]:
                self._handle_request(request, request_id)
            case ["kv", request_id]:
                self._transfer_cache(request, request_id)
            case ["orders"]:
                self._apply_order(request)
            case ["cache-events"]:
                answer_json(request, self.state.cache_events[-100:])
            case ["counters"]:
                answer_json(request, self.state.counters)
            case ["faults"]:
                self.set_faults(request, self.state.faults, self.site)
            case _:
                answer_json(request, {"error": "no such path"}, 404)

    async def _complete(self, request: Request) -> None:
        body = read_json(request)
        prompt = prompt_text(body)
        faults = self.state.faults
        self.state.count("requests")
        if faults.refuse:
            request.setHeader("x-ran", "not_run")
            answer_json(request, {"error": "refused"}, 503)
            return
        if faults.fail:
            answer_json(request, {"error": "failed"}, 500)
            return
        if faults.crash_on and faults.crash_on in prompt:
            await sleep(0.05)
            self.state.count("crashes")
            self._crash()
            return
        if faults.hang:
            return
        request_id = request.getHeader("x-request-id") or ""
        self.state.progress[request_id] = int(body.get("resume_from", 0))
        await self._acquire_slot(int(request.getHeader("x-priority") or 0))
        try:
            await self._generate(request, body, prompt)
        finally:
            self.state.progress.pop(request_id, None)
            self._release_slot()

    async def _acquire_slot(self, priority: int) -> None:
        if self.state.active < self.state.options.slots:
            self.state.active += 1
        else:
            slot_granted: defer.Deferred[None] = defer.Deferred()
            self.state.queued_count += 1
            self.state.slot_queue.append(
                (-priority, self.state.queued_count, slot_granted)
            )
            self.state.slot_queue.sort(key=lambda item: item[:2])
            await slot_granted
        self._record_load()

    def _release_slot(self) -> None:
        if self.state.slot_queue:
            self.state.slot_queue.pop(0)[2].callback(None)
        else:
            self.state.active -= 1
        self._record_load()

    async def _generate(
        self, request: Request, body: dict[str, Any], prompt: str
    ) -> None:
        request_id = request.getHeader("x-request-id") or ""
        start = int(body.get("resume_from", 0))
        total = int(body.get("max_tokens", DEFAULT_MAX_TOKENS))
        slowdown = self.state.faults.slowdown
        await sleep(self._prefill_s(request_id, prompt, start) * slowdown)
        self._start_stream(request, request_id)
        for index in range(start, total):
            await sleep(self.state.options.token_s * slowdown)
            if self.state.faults.stall_at == index:
                self.state.faults.stall_at = -1
                await sleep(self.state.faults.stall_s)
            if request_id in self.state.cancelled:
                self.state.count("cancelled")
                return
            if not is_open(request):
                return
            if index == self.state.faults.truncate_at:
                request.finish()
                return
            self.state.progress[request_id] = index + 1
            self.state.count("tokens")
            event_id = "other" if self.state.faults.wrong_id else request_id
            request.write(_token_event(event_id, index, token_text(prompt, index)))
        if is_open(request):
            request.write(b"data: [DONE]\n\n")
            request.finish()

    def _start_stream(self, request: Request, request_id: str) -> None:
        if not is_open(request):
            return
        request.setHeader("content-type", "text/event-stream")
        request.setHeader("x-request-id", request_id)
        request.write(b"")

    def _prefill_s(self, request_id: str, prompt: str, start: int) -> float:
        prompt_tokens = max(1, len(prompt.split()))
        imported_tokens = self.state.imported_tokens_by_id.pop(request_id, 0)
        prefix = prompt[: len(prompt) // 2]
        cached = (
            prompt_tokens // 2 if prefix and prefix in self.state.prefix_cache else 0
        )
        uncached_tokens = max(0, prompt_tokens - cached + start - imported_tokens)
        self.state.count("prefill_tokens", uncached_tokens)
        if start:
            self.state.count(
                "recomputed_tokens",
                max(0, prompt_tokens + start - imported_tokens - cached),
            )
        self._store_prefix(prefix)
        return uncached_tokens / self.state.options.prefill_tokens_per_s

    def _store_prefix(self, prefix: str) -> None:
        self.state.prefix_cache[prefix] = None
        self.state.prefix_cache.move_to_end(prefix)
        self.state.cache_events.append({"stored": hash(prefix) & 0xFFFFFFFF})
        if len(self.state.prefix_cache) > CACHED_PREFIXES:
            self.state.prefix_cache.popitem(last=False)

    def _handle_request(self, request: Request, request_id: str) -> None:
        if request.method == b"DELETE":
            self.state.cancelled.add(request_id)
            answer_json(request, {})
            return
        tokens = self.state.progress.get(request_id)
        if tokens is None:
            answer_json(request, {"error": "no such request"}, 404)
            return
        answer_json(request, {"tokens": tokens})

    def _transfer_cache(self, request: Request, request_id: str) -> None:
        if request.method == b"GET":
            tokens = self.state.progress.get(request_id)
            if tokens is None:
                answer_json(request, {"error": "no such request"}, 404)
                return
            answer_json(request, {"tokens": tokens, "prompt": True})
            return
        exported = read_json(request)
        # The transferred cache covers the prompt as well, however long it is.
        self.state.imported_tokens_by_id[request_id] = int(exported["tokens"]) + 10**6
        self.state.count("imports")
        answer_json(request, {})

    def _apply_order(self, request: Request) -> None:
        order = read_json(request)
        fencing_token = int(order["fencing"])
        if (
            self.state.options.checks_fencing
            and fencing_token < self.state.fencing_token
        ):
            self.state.count("orders_refused")
            answer_json(request, {"error": "old fencing number"}, 409)
            return
        self.state.fencing_token = fencing_token
        self.state.wanted = order["wanted"]
        answer_json(request, {"wanted": self.state.wanted})

    def _record_load(self) -> None:
        load = self.state.active + len(self.state.slot_queue)
        self.state.load_history.append((self._clock.seconds(), load))

    def _report_load(self) -> dict[str, Any]:
        horizon = self._clock.seconds() - self.state.options.report_lag_s
        history = self.state.load_history
        while len(history) > 1 and history[1][0] <= horizon:
            history.popleft()
        load = history[0][1] if history and history[0][0] <= horizon else 0
        return {
            "in_flight": load,
            "slots": self.state.options.slots,
            "version": self.state.options.version,
            "wanted": self.state.wanted,
            "fencing": self.state.fencing_token,
        }


def _token_event(request_id: str, index: int, text: str) -> bytes:
    chunk = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": text}}],
    }
    return f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()
