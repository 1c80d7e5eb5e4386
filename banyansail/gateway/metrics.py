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

    from banyansail.gateway.decisions.queue.work_shares import ShareUse
    from banyansail.gateway.decisions.upstreams.upstream_load import UpstreamLoad
    from banyansail.platform.store_calls import CallRecord

METRICS_PATH = b"/metrics"
LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)


class GatewayMetrics:
    """Metrics of a gateway; see docs/user-guide/metrics.md."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._add_request_metrics()
        self._add_state_metrics()
        self._add_share_metrics()
        self._add_store_metrics()

    def _add_request_metrics(self) -> None:
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
        self._retry_withdrawals = Counter(
            "banyansail_retry_withdrawals",
            "Retries that the budget granted or refused, by service",
            ("service", "outcome"),
            registry=self.registry,
        )
        self._retry_budget_routers = Gauge(
            "banyansail_retry_budget_routers",
            "Routers among which the slack of the retry budgets is divided",
            registry=self.registry,
        )
        self._migrations = Counter(
            "banyansail_migrations",
            "Runs that stopped to continue at another upstream, by outcome",
            ("service", "outcome"),
            registry=self.registry,
        )
        self._latency = Histogram(
            "banyansail_first_byte_seconds",
            "Time from an attempt to its first byte, by service",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _add_state_metrics(self) -> None:
        self._config_version = Gauge(
            "banyansail_config_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        self._speed = Gauge(
            "banyansail_upstream_speed",
            "Speed of an upstream that counts in choices",
            ("upstream",),
            registry=self.registry,
        )
        self._room = Gauge(
            "banyansail_upstream_room",
            "Free slots of an upstream, by own and reported requests",
            ("upstream",),
            registry=self.registry,
        )
        self._work_ahead = Gauge(
            "banyansail_upstream_work_ahead_tokens",
            "Prompt tokens that an upstream has yet to prefill",
            ("upstream",),
            registry=self.registry,
        )
        self._in_progress = Gauge(
            "banyansail_requests_in_progress",
            "Requests without a final answer",
            registry=self.registry,
        )

    def _add_share_metrics(self) -> None:
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

    def _add_store_metrics(self) -> None:
        self._store_calls = Counter(
            "banyansail_store_calls",
            "Calls to the store by kind of object, operation and outcome",
            ("kind", "operation", "outcome"),
            registry=self.registry,
        )
        self._store_watchers_followed = Gauge(
            "banyansail_store_watchers_followed",
            "Routers from which this one learns of changes in the store",
            registry=self.registry,
        )
        self._store_followers = Gauge(
            "banyansail_store_followers",
            "Calls of followers that wait for a change in the store",
            registry=self.registry,
        )
        self._store_age = Gauge(
            "banyansail_store_age_seconds",
            "Time since the objects of a kind were last known to be current",
            ("kind",),
            registry=self.registry,
        )
        self._evacuated_zones = Gauge(
            "banyansail_evacuated_zones",
            "Data centres that are evacuated",
            registry=self.registry,
        )
        self._cold_upstreams = Gauge(
            "banyansail_cold_upstreams",
            "Upstreams that are cold, by service",
            ("service",),
            registry=self.registry,
        )

    def set_upstreams(self, loads: list[UpstreamLoad]) -> None:
        """Record speed, room and work ahead of the upstreams that are known now."""
        for gauge in (self._speed, self._room, self._work_ahead):
            gauge.clear()
        for load in loads:
            name = load.upstream.id
            running = load.in_flight + load.peer_in_flight
            tokens = load.pending_prefill_tokens + load.peer_pending_prefill_tokens
            self._speed.labels(name).set(load.speed)
            self._room.labels(name).set(max(0, load.upstream.slots - running))
            self._work_ahead.labels(name).set(tokens)

    def count_answer(self, route: str, outcome: str) -> None:
        """Count a final response."""
        self._requests.labels(route, outcome).inc()

    def count_migration(self, service: str, outcome: str) -> None:
        """Count a run that stopped; the outcome is ``continued`` or ``lost``."""
        self._migrations.labels(service, outcome).inc()

    def count_retry(self, service: str) -> None:
        """Count a retry."""
        self._retries.labels(service).inc()

    def count_retry_withdrawal(self, service: str, *, is_granted: bool) -> None:
        """Count a retry that the budget granted or refused."""
        outcome = "granted" if is_granted else "refused"
        self._retry_withdrawals.labels(service, outcome).inc()

    def set_retry_budget_routers(self, count: int) -> None:
        """Record among how many routers the slack is divided; 0 if it is not known."""
        self._retry_budget_routers.set(count)

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

    def count_store_call(self, record: CallRecord) -> None:
        """Count a call to the store that has ended."""
        labels = (record.kind, record.operation, record.outcome.value)
        self._store_calls.labels(*labels).inc()

    def set_store_following(self, followed: int, followers: int) -> None:
        """Record how many routers are followed and how many followers' calls wait."""
        self._store_watchers_followed.set(followed)
        self._store_followers.set(followers)

    def set_store_age(self, kind: str, age: timedelta) -> None:
        """Record how old the knowledge of a kind is."""
        self._store_age.labels(kind).set(age.total_seconds())

    def set_evacuated_zones(self, count: int) -> None:
        """Record the number of evacuated data centres."""
        self._evacuated_zones.set(count)

    def set_cold_upstreams(self, service: str, count: int) -> None:
        """Record the number of a service's cold upstreams."""
        self._cold_upstreams.labels(service).set(count)

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
