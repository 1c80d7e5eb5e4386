"""Load and health of one upstream, as estimated by this router."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.limits.cold_share import ColdShare
from banyansail.gateway.decisions.limits.rate_limit import RateLimit
from banyansail.gateway.decisions.upstreams.prefix_cache import PrefixCache
from banyansail.gateway.decisions.upstreams.speed import SpeedEstimate

if TYPE_CHECKING:
    from random import Random

    from banyansail.gateway.request_types import Prompt
    from banyansail.gateway.upstream import Upstream
    from banyansail.traffic.speed_evidence import SpeedEvidence

FAILURE_WEIGHT = 0.15  # of a new sample in the moving average
LATENCY_WEIGHT = 0.15
ANSWER_TIME_WEIGHT = 0.02  # of a new sample in the mean of a service
INITIAL_LATENCY = timedelta(milliseconds=40)
HEALTH_HALF_LIFE = timedelta(seconds=3)  # so that an avoided upstream is tried again
SUSPECT_TIME = timedelta(milliseconds=500)  # after the first failure, then doubled
MAX_SUSPECT_TIME = timedelta(seconds=4)
INITIAL_PREFILL_TOKENS_PER_MS = 60.0
INITIAL_PREFILL_MS = 150.0
PREFILL_RATE_WEIGHT = 0.05
MIN_PREFILL_SAMPLE_TOKENS = 4000  # shorter prompts are poor samples of the rate
MIN_PREFILL_SAMPLE_TIME = timedelta(milliseconds=10)  # shorter ones vary too much
ENGINE_BASE_LATENCY = timedelta(milliseconds=40)  # to the first token, without prefill


class PrefillRate:
    """Estimated prefill rate of a service's engines, from their first tokens.

    Tokens and times are averaged separately, so that a prompt that was unexpectedly
    cached, and therefore fast, has no more weight than others.
    """

    __slots__ = ("_ms", "_tokens")

    def __init__(self) -> None:
        self._tokens = INITIAL_PREFILL_TOKENS_PER_MS * INITIAL_PREFILL_MS
        self._ms = INITIAL_PREFILL_MS

    @property
    def tokens_per_ms(self) -> float:
        """Prompt tokens that an engine prefills per millisecond."""
        return self._tokens / self._ms

    def record(self, tokens: int, latency: timedelta) -> None:
        """Add a sample: the tokens to prefill and the time to the first token."""
        if tokens < MIN_PREFILL_SAMPLE_TOKENS:
            return
        prefill_ms = max(
            1.0, (latency - ENGINE_BASE_LATENCY) / timedelta(milliseconds=1)
        )
        self._tokens += (tokens - self._tokens) * PREFILL_RATE_WEIGHT
        self._ms += (prefill_ms - self._ms) * PREFILL_RATE_WEIGHT


class AnswerTime:
    """Mean time of the answers of a plain service, over all of its upstreams."""

    __slots__ = ("mean",)

    def __init__(self) -> None:
        self.mean = INITIAL_LATENCY

    def record(self, latency: timedelta) -> None:
        """Add the time of an answer."""
        self.mean += (latency - self.mean) * ANSWER_TIME_WEIGHT


class UpstreamLoad:
    """Load and health of one upstream.

    Parameters
    ----------
    upstream : Upstream
        The upstream, as it registered itself.
    kv_tokens : int
        Memory of an engine in tokens; 0 for a plain service.
    prefill_rate : PrefillRate
        Shared by the engines of a service.
    random : Random
        Source of random draws of a named limit.
    answer_time : AnswerTime or None
        Shared by the upstreams of a plain service.
    """

    __slots__ = (
        "_failure_rate",
        "_mean_latency",
        "_paused_until",
        "_recorded_at",
        "_sent_at_by_slot",
        "answer_time",
        "cache",
        "cold",
        "equal_part",
        "in_flight",
        "is_brittle",
        "limit",
        "peer_in_flight",
        "peer_pending_prefill_tokens",
        "pending_prefill_tokens",
        "prefill_rate",
        "slot_part",
        "speed",
        "speed_estimate",
        "speed_evidence",
        "suspect_until",
        "suspicions",
        "upstream",
    )

    def __init__(
        self,
        upstream: Upstream,
        kv_tokens: int,
        prefill_rate: PrefillRate,
        random: Random,
        answer_time: AnswerTime | None = None,
    ) -> None:
        self.upstream = upstream
        self.cache = PrefixCache(kv_tokens) if kv_tokens else None
        self.in_flight = 0
        self.pending_prefill_tokens = 0  # of requests without a first token yet
        self.peer_in_flight = 0  # of other routers, as reported by them
        self.peer_pending_prefill_tokens = 0
        self._failure_rate = 0.0
        self._mean_latency = INITIAL_LATENCY
        self._recorded_at = timedelta(0)
        self.prefill_rate = prefill_rate
        self.suspect_until = timedelta(0)
        self.suspicions = 0  # consecutive ones, without a success in between
        self._sent_at_by_slot: dict[int, timedelta] = {}  # until the first byte
        self._paused_until = timedelta(0)
        self.limit = RateLimit(random)
        self.cold = ColdShare()
        self.is_brittle = False
        self.slot_part = upstream.slots  # of a brittle one, that this router may use
        self.answer_time = answer_time or AnswerTime()
        self.speed_estimate = SpeedEstimate()  # by the samples of this router
        self.speed_evidence: SpeedEvidence | None = None  # of the fleet
        self.speed = 1.0  # that counts in choices
        self.equal_part = 0.0  # slots that this router may use whatever reports say

    def start_attempt(
        self, slot_number: int, prefill_tokens: int, now: timedelta
    ) -> None:
        """Count an attempt that is sent to the upstream."""
        self.in_flight += 1
        self.limit.record_request(now)
        self.cold.record_request(now)
        self.pending_prefill_tokens += prefill_tokens
        self._sent_at_by_slot[slot_number] = now

    def record_first_byte(self, slot_number: int, prefill_tokens: int) -> None:
        """Record the first byte of an answer: its prompt has been prefilled."""
        if self._sent_at_by_slot.pop(slot_number, None) is not None:
            self.pending_prefill_tokens -= prefill_tokens

    def end_attempt(self, slot_number: int, prefill_tokens: int) -> None:
        """Remove a finished attempt from the load."""
        self.record_first_byte(slot_number, prefill_tokens)
        self.in_flight -= 1

    def has_room(self) -> bool:
        """Return whether a slot is free, by own and reported requests.

        The slots of a brittle upstream are divided among the routers. In the fair order
        a router below its equal part does not wait until a report shows a free slot.
        """
        if self.is_brittle and self.in_flight >= self.slot_part:
            return False
        if not self.is_brittle and self.in_flight + 1 <= self.equal_part:
            return True
        return self.in_flight + self.peer_in_flight < self.upstream.slots

    def capped(self, per_s: float, now: timedelta) -> float:
        """Return a rate, at most as high as the upstream's limits allow this router."""
        return self.cold.capped(self.limit.capped(per_s), now)

    def is_limited(self, now: timedelta) -> bool:
        """Return whether the upstream named a limit or is cold."""
        return self.limit.per_s is not None or bool(self.cold.left(now))

    def is_awaiting_first_byte(self, slot_number: int) -> bool:
        """Return whether an attempt has not received its first byte yet."""
        return slot_number in self._sent_at_by_slot

    def oldest_wait(self, now: timedelta) -> timedelta:
        """Return how long the oldest attempt has waited for a first byte."""
        first = next(iter(self._sent_at_by_slot.values()), None)
        return timedelta(0) if first is None else now - first

    def is_suspect(self, now: timedelta) -> bool:
        """Return whether the upstream gets work only if no other has room."""
        return now < self.suspect_until

    def mark_suspect(self, now: timedelta) -> None:
        """Mark the upstream as suspect for a time that doubles with each suspicion."""
        duration = min(MAX_SUSPECT_TIME, SUSPECT_TIME * 2**self.suspicions)
        self.suspicions = min(self.suspicions + 1, 8)
        self.suspect_until = now + duration

    def pause(self, duration: timedelta, now: timedelta) -> None:
        """Send nothing for a time, as the upstream asked; a longer pause stays."""
        self._paused_until = max(self._paused_until, now + duration)

    def pause_left(self, now: timedelta) -> timedelta:
        """Return how long the upstream wants no more requests."""
        return max(timedelta(0), self._paused_until - now)

    def failure_rate(self, now: timedelta) -> float:
        """Return the fraction of recent attempts that failed; it decays to 0."""
        if not self._failure_rate:
            return 0.0
        return self._failure_rate * self._decay(now)

    def mean_latency(self, now: timedelta) -> timedelta:
        """Return the average latency of answers; it decays to `INITIAL_LATENCY`."""
        return INITIAL_LATENCY + (self._mean_latency - INITIAL_LATENCY) * self._decay(
            now
        )

    def record_outcome(
        self, now: timedelta, *, ok: bool, latency: timedelta | None = None
    ) -> None:
        """Update failure rate and mean latency with the outcome of an attempt."""
        failure_rate, mean_latency = self.failure_rate(now), self.mean_latency(now)
        sample = 0.0 if ok else 1.0
        self._failure_rate = failure_rate + (sample - failure_rate) * FAILURE_WEIGHT
        self._mean_latency = mean_latency
        if latency is not None:
            self._mean_latency = (
                mean_latency + (latency - mean_latency) * LATENCY_WEIGHT
            )
        self._recorded_at = now
        if ok:
            self.suspicions = 0

    def _decay(self, now: timedelta) -> float:
        return 0.5 ** ((now - self._recorded_at) / HEALTH_HALF_LIFE)

    def record_speed(
        self, nominal: timedelta, latency: timedelta, now: timedelta
    ) -> None:
        """Add the time to a first byte to the estimated speed.

        Parameters
        ----------
        nominal : timedelta
            Time that an upstream of speed 1 was expected to take.
        """
        if self.cache is None:
            self.answer_time.record(latency)
        else:
            # The time besides prefill does not depend on the speed of prefill.
            nominal -= ENGINE_BASE_LATENCY
            latency -= ENGINE_BASE_LATENCY
            if nominal < MIN_PREFILL_SAMPLE_TIME:
                return
        self.speed_estimate.record(nominal, latency, now)

    def uncached_tokens(self, prompt: Prompt | None) -> int:
        """Return the number of a prompt's tokens that the upstream has to prefill."""
        if prompt is None:
            return 0
        return self.cache.uncached_tokens(prompt) if self.cache else prompt.tokens
