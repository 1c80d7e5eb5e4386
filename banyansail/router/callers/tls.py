"""TLS for callers' connections; certificates are reloaded when their files change."""

from __future__ import annotations

import os

from OpenSSL import SSL
from twisted.internet.ssl import ContextFactory

from banyansail.log import log_event

CIPHERS = b"ECDHE+AESGCM:ECDHE+CHACHA20"


class ReloadingContextFactory(ContextFactory):
    """Reloads changed certificate files when a new connection opens.

    If the files can't be read or do not match, the previous certificate stays in use.

    Parameters
    ----------
    certificate, private_key : str
        PEM files.

    Raises
    ------
    SSL.Error
        If the files are invalid at the start.
    """

    def __init__(self, certificate: str, private_key: str) -> None:
        self._certificate = certificate
        self._private_key = private_key
        self._loaded_mtimes = self._read_mtimes()
        self._context = self._load_context()

    def getContext(self) -> SSL.Context:
        """Return the TLS context for a new connection."""
        mtimes = self._read_mtimes()
        if mtimes != self._loaded_mtimes:
            self._loaded_mtimes = mtimes
            self._reload()
        return self._context

    def _reload(self) -> None:
        try:
            self._context = self._load_context()
            log_event("tls_reloaded", certificate=self._certificate)
        except (SSL.Error, OSError) as error:
            log_event("tls_reload_failed", error=repr(error))

    def _load_context(self) -> SSL.Context:
        context = SSL.Context(SSL.TLS_SERVER_METHOD)
        context.set_min_proto_version(SSL.TLS1_2_VERSION)
        context.set_cipher_list(CIPHERS)
        context.use_certificate_chain_file(self._certificate)
        context.use_privatekey_file(self._private_key)
        context.check_privatekey()
        return context

    def _read_mtimes(self) -> tuple[float, ...]:
        try:
            paths = (self._certificate, self._private_key)
            return tuple(os.stat(path).st_mtime_ns for path in paths)
        except OSError:
            return ()
