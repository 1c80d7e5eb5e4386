"""Evidence of the speeds of upstreams, as routers tell each other."""

from __future__ import annotations

import math
from dataclasses import dataclass
from datetime import timedelta

LASTING_TIME = timedelta(seconds=30)  # time constant of the decay of shared samples
MAX_AGE = timedelta(seconds=30)  # of evidence that is used


@dataclass(slots=True, frozen=True)
class SpeedEvidence:
    """Samples of the speed of one upstream's incarnation.

    Parameters
    ----------
    samples : float
        Number of samples, decayed by the age of each.
    log_sum : float
        Sum of the natural logarithms of the sampled ratios of the expected to the
        measured time, decayed alike.
    age : timedelta
        Time since the last sample.
    """

    samples: float
    log_sum: float
    age: timedelta

    @property
    def mean_log(self) -> float:
        """Mean logarithm of the samples; 0 without any."""
        return self.log_sum / self.samples if self.samples else 0.0

    def aged(self, time: timedelta) -> SpeedEvidence:
        """Return the same evidence some time later."""
        share = math.exp(-(time / LASTING_TIME))
        return SpeedEvidence(
            self.samples * share, self.log_sum * share, self.age + time
        )


def add_speeds(
    total: dict[str, SpeedEvidence],
    speeds: dict[str, SpeedEvidence],
    time: timedelta = timedelta(0),
) -> None:
    """Add the evidence of some routers to a total.

    Parameters
    ----------
    time : timedelta
        Since `speeds` were reported; what is older than `MAX_AGE` is left out.
    """
    for upstream, reported in speeds.items():
        if reported.age + time > MAX_AGE:
            continue
        evidence = reported.aged(time) if time else reported
        known = total.get(upstream)
        if known is not None:
            evidence = SpeedEvidence(
                known.samples + evidence.samples,
                known.log_sum + evidence.log_sum,
                min(known.age, evidence.age),
            )
        total[upstream] = evidence
