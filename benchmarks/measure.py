"""Helpers for the benchmarks: a site in this process, percentiles, line fits."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import reactor, task

from banyansail.commands.remote import run_coroutine
from banyansail.demo.site import LocalSite


def run_site(
    measure: Callable[[LocalSite], Coroutine[Any, Any, Any]],
) -> Any:
    """Run a coroutine function with a new site and return its result."""

    async def run() -> Any:
        with LocalSite(reactor) as site:
            return await measure(site)

    return run_coroutine(run)


async def wait_until(condition: Callable[[], bool], step_s: float = 0.01) -> None:
    """Wait until a condition holds."""
    while not condition():
        await task.deferLater(reactor, step_s)


async def wait_until_ready(site: LocalSite) -> None:
    """Wait until every router accepts callers and has every other as a live member."""
    routers = site.router_by_name
    await wait_until(
        lambda: all(
            item.lifecycle.is_ready
            and len(item.gossiper.live_members()) == len(routers)
            for item in routers.values()
        )
    )


def percentile(samples: list[float], share: float) -> float:
    """Return a percentile; 0 if there are no samples."""
    if not samples:
        return 0.0
    ordered = sorted(samples)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Fit a straight line by least squares.

    Returns
    -------
    intercept, slope, max_deviation : float
        ``max_deviation`` is the largest deviation of a point from the line.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    intercept = mean_y - slope * mean_x
    max_deviation = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, max_deviation
