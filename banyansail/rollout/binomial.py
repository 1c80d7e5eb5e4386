"""Tail of the binomial distribution."""

from __future__ import annotations

import math

NEGLIGIBLE_TERM_RATIO = 1e-12  # of the sum so far; smaller terms end the summation


def binomial_tail(successes: int, trials: int, probability: float) -> float:
    """Return the probability of at least the given number of successes.

    Values that are far from significant (at or below the mean) are not computed but
    returned as 1 or 0.5.

    Parameters
    ----------
    successes, trials : int
        Counts, with ``successes <= trials``.
    probability : float
        Probability of a success, above 0 and below 1.
    """
    if successes <= 0:
        return 1.0
    if successes <= trials * probability:
        return 1.0 if successes < trials * probability else 0.5
    log_term = (
        math.lgamma(trials + 1)
        - math.lgamma(successes + 1)
        - math.lgamma(trials - successes + 1)
        + successes * math.log(probability)
        + (trials - successes) * math.log1p(-probability)
    )
    term = math.exp(log_term)
    total = 0.0
    odds = probability / (1 - probability)
    for count in range(successes, trials + 1):
        total += term
        if term < total * NEGLIGIBLE_TERM_RATIO:
            break
        term *= (trials - count) / (count + 1) * odds
    return min(1.0, total)
