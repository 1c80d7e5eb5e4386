"""TLS towards callers, with keys that are read again when their files change."""

from __future__ import annotations

import os

from OpenSSL import SSL
from twisted.internet.ssl import ContextFactory

from banyansail.log import log_event

CIPHERS = b"ECDHE+AESGCM:ECDHE+CHACHA20"


class ReloadingContextFactory(ContextFactory):
    """Gives each new connection the certificate that the files hold now.

    Files that can't be read or do not fit together leave the former ones in use.

    Parameters
    ----------
    certificate, private_key : str
        PEM files.

    Raises
    ------
    SSL.Error
        If the files are bad at the start.
    """

    def __init__(self, certificate: str, private_key: str) -> None:
        self._certificate = certificate
        self._private_key = private_key
        self._seen = self._stamp()
        self._context = self._load()

    def getContext(self) -> SSL.Context:
        """Return the context for a new connection."""
        stamp = self._stamp()
        if stamp != self._seen:
            self._seen = stamp
            self._reload()
        return self._context

    def _reload(self) -> None:
        try:
            self._context = self._load()
            log_event("tls_reloaded", certificate=self._certificate)
        except (SSL.Error, OSError) as error:
            log_event("tls_reload_failed", error=repr(error))

    def _load(self) -> SSL.Context:
        context = SSL.Context(SSL.TLS_SERVER_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        context.set_cipher_list(CIPHERS)
        context.use_certificate_chain_file(self._certificate)
        context.use_privatekey_file(self._private_key)
        context.check_privatekey()
        return context

    def _stamp(self) -> tuple[float, ...]:
        try:
            files = (self._certificate, self._private_key)
            return tuple(os.stat(file).st_mtime_ns for file in files)
        except OSError:
            return ()
