"""Verification of upstream certificates for calls over TLS."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from twisted.internet.ssl import (
    Certificate,
    optionsForClientTLS,
    platformTrust,
    trustRootFromCertificates,
)
from twisted.web.iweb import IPolicyForHTTPS
from zope.interface import implementer

PEM_END = "-----END CERTIFICATE-----"


@implementer(IPolicyForHTTPS)
class UpstreamTlsPolicy:
    """TLS policy that reloads its certificate authorities when their file changes.

    Parameters
    ----------
    ca_file : str or None
        PEM file with the certificate authorities; ``None`` for those of the system.
    """

    def __init__(self, ca_file: str | None) -> None:
        self._ca_file = ca_file
        self._loaded_mtime_ns = -1
        self._trust_root: Any = platformTrust()

    def creatorForNetloc(self, hostname: bytes, port: int) -> Any:
        """Return the TLS options of an upstream, verified by its IP address."""
        if self._ca_file is not None:
            self._reload_if_changed(self._ca_file)
        return optionsForClientTLS(hostname.decode("ascii"), trustRoot=self._trust_root)

    def _reload_if_changed(self, ca_file: str) -> None:
        mtime_ns = os.stat(ca_file).st_mtime_ns
        if mtime_ns == self._loaded_mtime_ns:
            return
        text = Path(ca_file).read_text(encoding="ascii")
        blocks = [block + PEM_END for block in text.split(PEM_END) if block.strip()]
        certificates = [Certificate.loadPEM(block) for block in blocks]
        self._trust_root = trustRootFromCertificates(certificates)
        self._loaded_mtime_ns = mtime_ns
