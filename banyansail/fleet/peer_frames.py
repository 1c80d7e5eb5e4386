"""Frames on a connection between two routers, each with an authentication code."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

from twisted.protocols.basic import Int32StringReceiver

from banyansail.exceptions import WireError
from banyansail.log import log_event
from banyansail.wire.call_codec import MAX_CALL_BYTES

if TYPE_CHECKING:
    from banyansail.wire.message_auth import MessageAuthenticator

NONCE_BYTES = 16


class AuthenticatedFrames(Int32StringReceiver):
    """Frames with authentication codes that are bound to their connection.

    Each side first sends a random nonce. The code of a frame covers both nonces, the
    direction and a counter, so that frames can't be replayed, reflected or reordered.
    """

    MAX_LENGTH = MAX_CALL_BYTES

    def __init__(
        self, authenticator: MessageAuthenticator, own_label: bytes, peer_label: bytes
    ) -> None:
        self._authenticator = authenticator
        self._nonce = os.urandom(NONCE_BYTES)
        self._peer_nonce = b""
        self._frames_sent = 0
        self._frames_received = 0
        self._labels = (own_label, peer_label)

    def connectionMade(self) -> None:
        """Send the nonce of this side."""
        self.transport.setTcpNoDelay(True)
        self.sendString(self._nonce)

    def stringReceived(self, string: bytes) -> None:
        """Take the other side's nonce, then verify and handle each frame."""
        if not self._peer_nonce:
            if len(string) != NONCE_BYTES:
                log_event("peer_frame_invalid", error="not a nonce")
                self.transport.abortConnection()
                return
            self._peer_nonce = string
            self.handshake_completed()
            return
        self._frames_received += 1
        try:
            context = self._context(self._labels[1], self._frames_received)
            self.frame_received(self._authenticator.verify(string, context))
        except WireError as error:
            log_event("peer_frame_invalid", error=error.message)
            self.transport.abortConnection()

    def send_frame(self, payload: bytes) -> None:
        """Send a frame with its code."""
        self._frames_sent += 1
        context = self._context(self._labels[0], self._frames_sent)
        self.sendString(self._authenticator.sign(payload, context))

    def _context(self, label: bytes, counter: int) -> bytes:
        nonces = sorted((self._nonce, self._peer_nonce))
        return label + b"".join(nonces) + counter.to_bytes(8, "big")

    def handshake_completed(self) -> None:
        """Handle the end of the handshake; frames can be sent now."""
        raise NotImplementedError

    def frame_received(self, payload: bytes) -> None:
        """Handle the content of a verified frame."""
        raise NotImplementedError
