"""Links to all known upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from banyansail.upstreams.link import UpstreamLink

if TYPE_CHECKING:
    from banyansail.config.rules import UpstreamRule
    from banyansail.upstreams.tls import UpstreamTrust


class LinkTable:
    """Opens a link for each upstream and closes it when the upstream is gone.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    trust : UpstreamTrust
        Checks the certificates of upstreams that are called over TLS.
    """

    __slots__ = ("_link_by_name", "_rule_by_name", "_trust", "reactor")

    def __init__(self, reactor: Any, trust: UpstreamTrust) -> None:
        self.reactor = reactor
        self._trust = trust
        self._link_by_name: dict[str, UpstreamLink] = {}
        self._rule_by_name: dict[str, UpstreamRule] = {}

    def __enter__(self) -> LinkTable:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for link in self._link_by_name.values():
            link.close_idle()

    def get(self, name: str) -> UpstreamLink | None:
        """Return the link to an upstream, or ``None`` if it is not known."""
        return self._link_by_name.get(name)

    def apply(self, rule_by_name: dict[str, UpstreamRule]) -> None:
        """Take over the known upstreams."""
        for name in self._link_by_name.keys() - rule_by_name.keys():
            self._link_by_name.pop(name).close_idle()
            del self._rule_by_name[name]
        for name, rule in rule_by_name.items():
            known = self._rule_by_name.get(name)
            if known is not None and _same_place(known, rule):
                continue
            if known is not None:
                self._link_by_name[name].close_idle()
            self._rule_by_name[name] = rule
            self._link_by_name[name] = UpstreamLink(
                self.reactor, rule.address, self._trust if rule.tls else None
            )


def _same_place(known: UpstreamRule, rule: UpstreamRule) -> bool:
    return (known.address, known.tls) == (rule.address, rule.tls)
