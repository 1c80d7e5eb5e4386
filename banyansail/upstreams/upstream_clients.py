"""HTTP clients of all known upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.upstreams.upstream_client import UpstreamClient

if TYPE_CHECKING:
    from banyansail.config.rules import UpstreamRule
    from banyansail.upstreams.tls import UpstreamTlsPolicy


class UpstreamClients:
    """Table of clients: one for each upstream, closed when the upstream is removed.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    tls_policy : UpstreamTlsPolicy
        Verification of the certificates of upstreams that are called over TLS.
    """

    __slots__ = ("_client_by_name", "_rule_by_name", "_tls_policy", "reactor")

    def __init__(self, reactor: Any, tls_policy: UpstreamTlsPolicy) -> None:
        self.reactor = reactor
        self._tls_policy = tls_policy
        self._client_by_name: dict[str, UpstreamClient] = {}
        self._rule_by_name: dict[str, UpstreamRule] = {}

    def __enter__(self) -> UpstreamClients:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for client in self._client_by_name.values():
            client.close_idle()

    def get(self, name: str) -> UpstreamClient | None:
        """Return the client of an upstream, or ``None`` if the upstream is unknown."""
        return self._client_by_name.get(name)

    def apply(self, rule_by_name: dict[str, UpstreamRule]) -> None:
        """Add, replace and remove clients to match the known upstreams."""
        for name in self._client_by_name.keys() - rule_by_name.keys():
            self._client_by_name.pop(name).close_idle()
            del self._rule_by_name[name]
        for name, rule in rule_by_name.items():
            known = self._rule_by_name.get(name)
            if known is not None and _has_same_endpoint(known, rule):
                continue
            if known is not None:
                self._client_by_name[name].close_idle()
            self._rule_by_name[name] = rule
            self._client_by_name[name] = UpstreamClient(
                self.reactor, rule.address, self._tls_policy if rule.tls else None
            )


def _has_same_endpoint(known: UpstreamRule, rule: UpstreamRule) -> bool:
    return (known.address, known.tls) == (rule.address, rule.tls)
