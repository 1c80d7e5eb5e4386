"""Request body producers for Twisted's HTTP client."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet import defer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer


@implementer(IBodyProducer)
class BytesBody:
    """Body producer for bytes in memory.

    Parameters
    ----------
    data : bytes
        Content of the body.
    """

    def __init__(self, data: bytes) -> None:
        self._data = data
        self.length: int = len(data)
        assert self.length != UNKNOWN_LENGTH
        self.has_started = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        """Write the whole body at once."""
        self.has_started = True
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing, as the whole body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing, as the whole body is written at once."""


class JsonBody(BytesBody):
    """Body producer for a JSON value.

    Parameters
    ----------
    value : object
        JSON value to encode.
    """

    def __init__(self, value: Any) -> None:
        super().__init__(json.dumps(value, separators=(",", ":")).encode())
