"""State of the stand-in for an engine, and the tokens that it generates."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import defer

VOCABULARY = ("comb ", "blade ", "clipper ", "hedge ", "lawn ", "invoice ", "pot ")
CACHED_PREFIXES = 32
DEFAULT_MAX_TOKENS = 16


@dataclass(slots=True)
class EngineFaults:
    """Fault switches, set by attribute name over HTTP.

    Parameters
    ----------
    fail : bool
        Every completion is answered with 500.
    refuse : bool
        Every completion is answered with 503 without being run.
    slowdown : float
        Factor applied to prefill and token times.
    hang : bool
        Completions are accepted and never answered.
    crash_on : str
        A prompt with this text crashes the engine.
    truncate_at : int
        Streams end without the final event after this many tokens; -1 for never.
    stall_at : int
        The next stream pauses at this token for `stall_s`; -1 for never.
    wrong_id : bool
        Events carry the id of another request.
    """

    fail: bool = False
    refuse: bool = False
    slowdown: float = 1.0
    hang: bool = False
    crash_on: str = ""
    truncate_at: int = -1
    stall_at: int = -1
    stall_s: float = 0.0
    wrong_id: bool = False


@dataclass(slots=True)
class EngineOptions:
    """Size and speed of an engine.

    Parameters
    ----------
    slots : int
        Sequences batched at once.
    token_s : float
        Time between tokens.
    prefill_tokens_per_s : float
        Prefill rate of prompt tokens that are not cached.
    report_lag_s : float
        Age of the reported load.
    checks_fencing : bool
        Whether orders with an outdated fencing token are refused.
    """

    name: str = "engine"
    version: str = "v1"
    slots: int = 8
    token_s: float = 0.005
    prefill_tokens_per_s: float = 20000.0
    report_lag_s: float = 0.5
    checks_fencing: bool = True


@dataclass(slots=True)
class EngineState:
    """State of an engine.

    Parameters
    ----------
    slot_queue : list of tuple
        Requests that wait for a slot: negated priority, number, deferred.
    imported_tokens_by_id : dict
        Tokens whose cache was transferred from another engine, by request id.
    progress : dict
        Tokens generated so far, by request id.
    """

    options: EngineOptions
    faults: EngineFaults = field(default_factory=EngineFaults)
    active: int = 0
    slot_queue: list[tuple[int, int, defer.Deferred[None]]] = field(
        default_factory=list
    )
    queued_count: int = 0
    prefix_cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    imported_tokens_by_id: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    progress: dict[str, int] = field(default_factory=dict)
    counters: dict[str, int] = field(default_factory=dict)
    load_history: deque[tuple[float, int]] = field(default_factory=deque)
    fencing_token: int = 0
    wanted: dict[str, Any] = field(default_factory=dict)
    cache_events: list[dict[str, Any]] = field(default_factory=list)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] = self.counters.get(name, 0) + amount


def token_text(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    digest = hashlib.blake2s(f"{prompt}/{index}".encode(), digest_size=4).digest()
    return VOCABULARY[int.from_bytes(digest, "big") % len(VOCABULARY)]


def answer_text(prompt: str, tokens: int) -> str:
    """Return the complete answer to a prompt."""
    return "".join(token_text(prompt, index) for index in range(tokens))


def prompt_text(body: dict[str, Any]) -> str:
    """Return the text of all messages of a completion request."""
    messages = body.get("messages", [])
    return "\n".join(str(message.get("content", "")) for message in messages)
