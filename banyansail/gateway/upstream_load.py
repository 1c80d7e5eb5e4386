"""Load and health of one upstream, as this router sees them."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.prefix_cache import PrefixCache

if TYPE_CHECKING:
    from banyansail.gateway.messages import Prompt
    from banyansail.gateway.upstream import Upstream

FAILURE_WEIGHT = 0.15  # of a new sample in the moving average
LATENCY_WEIGHT = 0.15
START_LATENCY = timedelta(milliseconds=40)
FIRST_SUSPICION = timedelta(milliseconds=500)
LONGEST_SUSPICION = timedelta(seconds=4)
START_READ_RATE = 40.0  # prompt tokens in a millisecond
READ_RATE_WEIGHT = 0.1
MIN_READ_TOKENS = 1000  # shorter prompts say little about the rate
ENGINE_BASE = timedelta(milliseconds=30)  # of the first token, beside reading


class UpstreamLoad:
    """One upstream.

    Parameters
    ----------
    upstream : Upstream
        What it says of itself.
    kv_tokens : int
        Memory of an engine; 0 for a plain service.
    """

    __slots__ = (
        "_unanswered_since",
        "cache",
        "failure_share",
        "in_flight",
        "latency",
        "peer_in_flight",
        "peer_reading",
        "read_rate",
        "reading",
        "suspect_until",
        "suspicions",
        "upstream",
    )

    def __init__(self, upstream: Upstream, kv_tokens: int) -> None:
        self.upstream = upstream
        self.cache = PrefixCache(kv_tokens) if kv_tokens else None
        self.in_flight = 0
        self.reading = 0  # prompt tokens sent here without a first token yet
        self.peer_in_flight = 0
        self.peer_reading = 0
        self.failure_share = 0.0
        self.latency = START_LATENCY
        self.read_rate = START_READ_RATE
        self.suspect_until = timedelta(0)
        self.suspicions = 0
        self._unanswered_since: dict[int, timedelta] = {}

    def start(self, token: int, work: int, now: timedelta) -> None:
        """Account for an attempt that is sent; `token` identifies it."""
        self.in_flight += 1
        self.reading += work
        self._unanswered_since[token] = now

    def answered(self, token: int, work: int) -> None:
        """Account for the first byte of an answer."""
        if self._unanswered_since.pop(token, None) is not None:
            self.reading -= work

    def end(self, token: int, work: int) -> None:
        """Account for the end of an attempt."""
        self.answered(token, work)
        self.in_flight -= 1

    def is_unanswered(self, token: int) -> bool:
        """Tell whether an attempt still waits for its first byte."""
        return token in self._unanswered_since

    def oldest_wait(self, now: timedelta) -> timedelta:
        """Return how long the oldest attempt has waited for a first byte."""
        first = next(iter(self._unanswered_since.values()), None)
        return timedelta(0) if first is None else now - first

    def is_suspect(self, now: timedelta) -> bool:
        """Tell whether the upstream gets work only if no other can."""
        return now < self.suspect_until

    def suspect(self, now: timedelta) -> None:
        """Avoid the upstream for a while, longer each time in a row."""
        pause = min(LONGEST_SUSPICION, FIRST_SUSPICION * 2**self.suspicions)
        self.suspicions = min(self.suspicions + 1, 8)
        self.suspect_until = now + pause

    def observe(self, *, ok: bool, latency: timedelta | None = None) -> None:
        """Take in how an attempt went."""
        sample = 0.0 if ok else 1.0
        self.failure_share += (sample - self.failure_share) * FAILURE_WEIGHT
        if ok:
            self.suspicions = 0
        if latency is not None:
            self.latency += (latency - self.latency) * LATENCY_WEIGHT

    def observe_reading(self, tokens: int, latency: timedelta) -> None:
        """Learn how quickly the engine reads from the time to a first token."""
        if tokens < MIN_READ_TOKENS or latency <= ENGINE_BASE:
            return
        sample = tokens / ((latency - ENGINE_BASE) / timedelta(milliseconds=1))
        self.read_rate += (sample - self.read_rate) * READ_RATE_WEIGHT

    def uncached(self, prompt: Prompt | None) -> int:
        """Return the tokens of a prompt that have to be read here."""
        if prompt is None:
            return 0
        return self.cache.uncached_tokens(prompt) if self.cache else prompt.tokens
