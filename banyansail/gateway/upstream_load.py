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
OPINION_HALF_LIFE = timedelta(seconds=3)  # an upstream that is avoided gets a chance
FIRST_SUSPICION = timedelta(milliseconds=500)
LONGEST_SUSPICION = timedelta(seconds=4)
START_READ_RATE = 60.0  # prompt tokens in a millisecond
START_READ_MS = 150.0
READ_RATE_WEIGHT = 0.05
MIN_READ_TOKENS = 4000  # shorter prompts say little about the rate
ENGINE_BASE = timedelta(milliseconds=40)  # of the first token, beside reading


class ReadPace:
    """How quickly the engines of a service read prompts, learned from first tokens.

    Tokens and times are averaged apart, so that a prompt that was cached unseen, and
    so was quick, weighs no more than others.
    """

    __slots__ = ("_ms", "_tokens")

    def __init__(self) -> None:
        self._tokens = START_READ_RATE * START_READ_MS
        self._ms = START_READ_MS

    @property
    def tokens_per_ms(self) -> float:
        """Prompt tokens that an engine reads in a millisecond."""
        return self._tokens / self._ms

    def observe(self, tokens: int, latency: timedelta) -> None:
        """Take in the time to a first token after some tokens were to be read."""
        if tokens < MIN_READ_TOKENS:
            return
        reading_ms = max(1.0, (latency - ENGINE_BASE) / timedelta(milliseconds=1))
        self._tokens += (tokens - self._tokens) * READ_RATE_WEIGHT
        self._ms += (reading_ms - self._ms) * READ_RATE_WEIGHT


class UpstreamLoad:
    """One upstream.

    Parameters
    ----------
    upstream : Upstream
        What it says of itself.
    kv_tokens : int
        Memory of an engine; 0 for a plain service.
    pace : ReadPace
        Shared by the engines of a service.
    """

    __slots__ = (
        "_failure_share",
        "_latency",
        "_observed_at",
        "_unanswered_since",
        "cache",
        "in_flight",
        "pace",
        "peer_in_flight",
        "peer_reading",
        "reading",
        "suspect_until",
        "suspicions",
        "upstream",
    )

    def __init__(self, upstream: Upstream, kv_tokens: int, pace: ReadPace) -> None:
        self.upstream = upstream
        self.cache = PrefixCache(kv_tokens) if kv_tokens else None
        self.in_flight = 0
        self.reading = 0  # prompt tokens sent here without a first token yet
        self.peer_in_flight = 0
        self.peer_reading = 0
        self._failure_share = 0.0
        self._latency = START_LATENCY
        self._observed_at = timedelta(0)
        self.pace = pace
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

    def failure_share(self, now: timedelta) -> float:
        """Return the share of late attempts that failed."""
        return self._failure_share * self._memory(now)

    def latency(self, now: timedelta) -> timedelta:
        """Return the usual time to an answer."""
        return START_LATENCY + (self._latency - START_LATENCY) * self._memory(now)

    def observe(
        self, now: timedelta, *, ok: bool, latency: timedelta | None = None
    ) -> None:
        """Take in how an attempt went."""
        failures, usual = self.failure_share(now), self.latency(now)
        sample = 0.0 if ok else 1.0
        self._failure_share = failures + (sample - failures) * FAILURE_WEIGHT
        self._latency = usual
        if latency is not None:
            self._latency = usual + (latency - usual) * LATENCY_WEIGHT
        self._observed_at = now
        if ok:
            self.suspicions = 0

    def _memory(self, now: timedelta) -> float:
        return 0.5 ** ((now - self._observed_at) / OPINION_HALF_LIFE)

    def uncached(self, prompt: Prompt | None) -> int:
        """Return the tokens of a prompt that have to be read here."""
        if prompt is None:
            return 0
        return self.cache.uncached_tokens(prompt) if self.cache else prompt.tokens
