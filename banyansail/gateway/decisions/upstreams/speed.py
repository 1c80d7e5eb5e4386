"""Speed of an upstream: the ratio of the expected to the measured time of its answers.

1 is as expected, 0.5 takes twice as long. The mean of the logarithms is kept, so that a
few very long answers don't dominate.
"""

from __future__ import annotations

import math
from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.traffic.speed_evidence import LASTING_TIME, MAX_AGE, SpeedEvidence

if TYPE_CHECKING:
    from collections.abc import Mapping

PASSING_TIME = timedelta(seconds=1.5)  # time constant of a difference that may pass
MIN_SAMPLES = 8  # fewer are not told from noise
TOLERANCE = 0.15  # speeds that differ less from 1 are noise between equal upstreams
MAX_LOG_RATIO = math.log(10)  # of one sample
MIN_TIME_MS = 1.0
# Samples of speed 1 that each mean includes besides the measured ones: the few samples
# of equal upstreams, which vary by half, then rarely leave the tolerance.
PRIOR_SAMPLES = 8
LOG_LOWER = math.log(1 - TOLERANCE)
LOG_UPPER = math.log(1 + TOLERANCE)
MILLISECOND = timedelta(milliseconds=1)


class SpeedEstimate:
    """Speed of one incarnation of an upstream, by the samples of this router."""

    __slots__ = ("_lasting", "_lasting_log", "_passing", "_passing_log", "_sampled_at")

    def __init__(self) -> None:
        self._lasting = self._lasting_log = 0.0  # number of samples, sum of logarithms
        self._passing = self._passing_log = 0.0
        self._sampled_at = timedelta(0)

    def record(self, expected: timedelta, measured: timedelta, now: timedelta) -> None:
        """Add a sample: the expected and the measured time of an answer."""
        log_ratio = math.log(
            max(MIN_TIME_MS, expected / MILLISECOND)
            / max(MIN_TIME_MS, measured / MILLISECOND)
        )
        log_ratio = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_ratio))
        lasting_share, passing_share = self._shares(now)
        self._lasting = self._lasting * lasting_share + 1
        self._lasting_log = self._lasting_log * lasting_share + log_ratio
        self._passing = self._passing * passing_share + 1
        self._passing_log = self._passing_log * passing_share + log_ratio
        self._sampled_at = now

    def lasting(self, now: timedelta) -> SpeedEvidence | None:
        """Return the evidence of a lasting difference, ``None`` if too old."""
        age = now - self._sampled_at
        if not self._lasting or age > MAX_AGE:
            return None
        return SpeedEvidence(self._lasting, self._lasting_log, timedelta(0)).aged(age)

    def passing(self, now: timedelta) -> SpeedEvidence:
        """Return the evidence of the last seconds."""
        _, share = self._shares(now)
        age = now - self._sampled_at
        return SpeedEvidence(self._passing * share, self._passing_log * share, age)

    def _shares(self, now: timedelta) -> tuple[float, float]:
        age = now - self._sampled_at
        return math.exp(-(age / LASTING_TIME)), math.exp(-(age / PASSING_TIME))


class FleetSpeeds:
    """Speeds of the upstreams of one service, by the evidence of all routers.

    Speeds are relative to the mean of the service, as an expectation that is wrong for
    all of its upstreams alike says nothing about one of them.

    Parameters
    ----------
    own : mapping
        Estimates of this router by upstream's incarnation.
    fleet : mapping
        Evidence of all routers; it may include that of this one.
    """

    __slots__ = ("_evidence", "_mean_log", "_now", "_own")

    def __init__(
        self,
        own: Mapping[str, SpeedEstimate],
        fleet: Mapping[str, SpeedEvidence],
        now: timedelta,
    ) -> None:
        self._own = own
        self._now = now
        self._evidence: dict[str, SpeedEvidence] = {}
        for name, estimate in own.items():
            evidence = _larger(estimate.lasting(now), fleet.get(name))
            if evidence is not None:
                self._evidence[name] = evidence
        samples = sum(item.samples for item in self._evidence.values())
        log_sum = sum(item.log_sum for item in self._evidence.values())
        self._mean_log = log_sum / samples if samples else 0.0

    def evidence(self, name: str) -> SpeedEvidence | None:
        """Return the evidence of an upstream's lasting speed, if there is any."""
        return self._evidence.get(name)

    def speed(self, name: str) -> float:
        """Return the speed that counts for an upstream.

        It is 1 with fewer than `MIN_SAMPLES` samples or within `TOLERANCE` of 1. A
        passing difference counts if this router itself has as many samples of it.
        """
        passing = self._own[name].passing(self._now)
        if passing.samples >= MIN_SAMPLES:
            return self._counted(passing)
        lasting = self._evidence.get(name)
        if lasting is None or lasting.samples < MIN_SAMPLES:
            return 1.0
        return self._counted(lasting)

    def _counted(self, evidence: SpeedEvidence) -> float:
        weight = evidence.samples / (evidence.samples + PRIOR_SAMPLES)
        relative = (evidence.mean_log - self._mean_log) * weight
        return 1.0 if LOG_LOWER <= relative <= LOG_UPPER else math.exp(relative)


def _larger(
    own: SpeedEvidence | None, fleet: SpeedEvidence | None
) -> SpeedEvidence | None:
    """Return the evidence with more samples; their sum would count samples twice."""
    if own is None or (fleet is not None and fleet.samples > own.samples):
        return fleet
    return own
