"""Backpressure of a slow caller on the upstream that answers it."""

from __future__ import annotations

from banyansail.router.exchanges.stall_detector import StallDetector
from banyansail.upstreams.body_receiver import BodyReceiver


class PausableBody:
    """Producer that pauses the upstream's connection for a slow caller."""

    __slots__ = ("_receiver", "_stall_detector")

    def __init__(self, receiver: BodyReceiver, stall_detector: StallDetector) -> None:
        self._receiver = receiver
        self._stall_detector = stall_detector

    def pauseProducing(self) -> None:
        """Stop reading from the upstream."""
        self._stall_detector.is_paused = True
        self._receiver.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Read from the upstream again."""
        self._stall_detector.is_paused = False
        self._stall_detector.reset()
        self._receiver.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Do nothing, as the exchange ends with the disconnect."""
