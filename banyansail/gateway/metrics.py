"""Prometheus metrics of a gateway and the HTTP server that exposes them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from twisted.web import http

if TYPE_CHECKING:
    from collections.abc import Iterable
    from datetime import timedelta

    from banyansail.gateway.decisions.work_shares import ShareUse

METRICS_PATH = b"/metrics"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class GatewayMetrics:
    """Metrics of a gateway; see docs/user-guide/metrics.md."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "banyansail_requests",
            "Final answers by route and outcome",
            ("route", "outcome"),
            registry=self.registry,
        )
        self._retries = Counter(
            "banyansail_retries",
            "Further attempts by service",
            ("service",),
            registry=self.registry,
        )
        self._latency = Histogram(
            "banyansail_first_byte_seconds",
            "Time from an attempt to its first byte, by service",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._config_version = Gauge(
            "banyansail_config_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        self._in_progress = Gauge(
            "banyansail_requests_in_progress",
            "Requests without a final answer",
            registry=self.registry,
        )

        self._share, self._use = (
            Gauge(name, text, ("service", "workspace"), registry=self.registry)
            for name, text in (
                ("banyansail_workspace_share", "Share of a service's work"),
                ("banyansail_workspace_use", "Part of a service's work that was got"),
            )
        )
        self._wait = Histogram(
            "banyansail_workspace_wait_seconds",
            "Time that requests waited in the order of workspaces",
            ("service", "workspace"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def count_answer(self, route: str, outcome: str) -> None:
        """Count a final response."""
        self._requests.labels(route, outcome).inc()

    def count_retry(self, service: str) -> None:
        """Count a retry."""
        self._retries.labels(service).inc()

    def observe_first_byte(self, service: str, latency: timedelta) -> None:
        """Record the time from an attempt to its first byte."""
        self._latency.labels(service).observe(latency.total_seconds())

    def observe_wait(self, service: str, workspace: str, waited: timedelta) -> None:
        """Record the time that a request waited in the order of workspaces."""
        self._wait.labels(service, workspace).observe(waited.total_seconds())

    def set_shares(self, service: str, share_uses: Iterable[ShareUse]) -> None:
        """Record the shares of a service's work and the use of them by workspace."""
        for item in share_uses:
            self._share.labels(service, item.workspace).set(item.share)
            self._use.labels(service, item.workspace).set(item.use)

    def set_config_version(self, version: int) -> None:
        """Record the version of the active configuration."""
        self._config_version.set(version)

    def set_in_progress(self, count: int) -> None:
        """Record the number of requests in progress."""
        self._in_progress.set(count)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class MetricsRequest(http.Request):
    """Request to the metrics address."""

    def process(self) -> None:
        """Respond with all metrics, or 404 for other paths."""
        body = self.channel.factory.handle() if self.path == METRICS_PATH else b""
        self.setResponseCode(200 if self.path == METRICS_PATH else 404)
        self.setHeader(b"content-type", CONTENT_TYPE_LATEST.encode())
        self.setHeader(b"content-length", b"%d" % len(body))
        self.write(body)
        self.finish()


class MetricsChannel(http.HTTPChannel):
    """A connection to the metrics address."""

    requestFactory = MetricsRequest


class MetricsFactory(http.HTTPFactory):
    """Factory of connections to the metrics address.

    Parameters
    ----------
    handle : callable
        Returns the metrics in the text format.
    """

    noisy = False
    protocol = MetricsChannel

    def __init__(self, reactor: Any, handle: Any) -> None:
        super().__init__(reactor=reactor)
        self.handle = handle

    def log(self, request: http.Request) -> None:
        """Write no access log."""
