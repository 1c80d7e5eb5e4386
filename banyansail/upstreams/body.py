"""Bodies that Twisted's HTTP client sends."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet import defer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesBody:
    """A body that is held in memory.

    Parameters
    ----------
    data : bytes
        The body.
    """

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length: int = len(data)
        assert self.length != UNKNOWN_LENGTH
        self.started = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        """Write the whole body."""
        self.started = True
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written at once."""


class JsonBody(BytesBody):
    """A JSON body.

    Parameters
    ----------
    value : object
        JSON value.
    """

    def __init__(self, value: Any) -> None:
        super().__init__(json.dumps(value, separators=(",", ":")).encode())
