"""Trust in upstreams that are called over TLS."""

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
class UpstreamTrust:
    """Checks certificates against authorities that are read again when they change.

    Parameters
    ----------
    file : str or None
        PEM file of the authorities; ``None`` for those of the system.
    """

    def __init__(self, file: str | None) -> None:
        self._file = file
        self._seen = -1
        self._root: Any = platformTrust()

    def creatorForNetloc(self, hostname: bytes, port: int) -> Any:
        """Return what makes connections to an upstream, checked by its IP number."""
        if self._file is not None:
            self._read_again(self._file)
        return optionsForClientTLS(hostname.decode("ascii"), trustRoot=self._root)

    def _read_again(self, file: str) -> None:
        stamp = os.stat(file).st_mtime_ns
        if stamp == self._seen:
            return
        text = Path(file).read_text(encoding="ascii")
        parts = [part + PEM_END for part in text.split(PEM_END) if part.strip()]
        certificates = [Certificate.loadPEM(part) for part in parts]
        self._root = trustRootFromCertificates(certificates)
        self._seen = stamp
