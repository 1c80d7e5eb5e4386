"""Authentication of what routers send each other, by a shared key."""

from __future__ import annotations

import hashlib
import hmac

from banyansail.exceptions import WireError

MAC_BYTES = 16


class Seal:
    """Adds and checks message authentication codes.

    Parameters
    ----------
    shared_key : str
        Secret of the fleet.
    """

    __slots__ = ("_key",)

    def __init__(self, shared_key: str) -> None:
        self._key = hashlib.blake2b(shared_key.encode(), digest_size=32).digest()

    def close(self, payload: bytes, context: bytes = b"") -> bytes:
        """Return the payload with its code in front.

        Parameters
        ----------
        context : bytes
            What the code covers besides, such as a nonce of the connection.
        """
        return self._code(payload, context) + payload

    def open(self, sealed: bytes, context: bytes = b"") -> bytes:
        """Return the payload.

        Raises
        ------
        WireError
            If the code is missing or wrong.
        """
        code, payload = sealed[:MAC_BYTES], sealed[MAC_BYTES:]
        if not hmac.compare_digest(code, self._code(payload, context)):
            raise WireError("the message authentication code is wrong")
        return payload

    def _code(self, payload: bytes, context: bytes) -> bytes:
        code = hashlib.blake2b(context, key=self._key, digest_size=MAC_BYTES)
        code.update(payload)
        return code.digest()
