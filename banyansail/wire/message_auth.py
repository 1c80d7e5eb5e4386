"""Authentication of messages between routers with a shared key."""

from __future__ import annotations

import hashlib
import hmac

from banyansail.exceptions import WireError

MAC_BYTES = 16


class MessageAuthenticator:
    """Signs messages with a MAC and verifies it.

    Parameters
    ----------
    shared_key : str
        Secret that all routers of the fleet share.
    """

    __slots__ = ("_key",)

    def __init__(self, shared_key: str) -> None:
        self._key = hashlib.blake2b(shared_key.encode(), digest_size=32).digest()

    def sign(self, payload: bytes, context: bytes = b"") -> bytes:
        """Return the payload prefixed with its MAC.

        Parameters
        ----------
        context : bytes
            Data that the MAC covers but that is not sent, such as a connection's nonce.
        """
        return self._mac(payload, context) + payload

    def verify(self, signed: bytes, context: bytes = b"") -> bytes:
        """Verify a signed message and return its payload.

        Raises
        ------
        WireError
            If the MAC is missing or wrong.
        """
        mac, payload = signed[:MAC_BYTES], signed[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload, context)):
            raise WireError("the message authentication code is wrong")
        return payload

    def _mac(self, payload: bytes, context: bytes) -> bytes:
        mac = hashlib.blake2b(context, key=self._key, digest_size=MAC_BYTES)
        mac.update(payload)
        return mac.digest()
