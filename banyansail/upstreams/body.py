"""Request body producers for Twisted's HTTP client."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.web.iweb import UNKNOWN_LENGTH, IBodyProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from collections.abc import Callable


@implementer(IBodyProducer)
class BytesBody:
    """Body producer for bytes in memory.

    Parameters
    ----------
    data : bytes
        Content of the body.
    on_start : callable or None
        Called before the body is written, right after the headers.
    """

    def __init__(self, data: bytes, on_start: Callable[[], None] | None = None) -> None:
        self._data = data
        self._on_start = on_start
        self.length: int = len(data)
        assert self.length != UNKNOWN_LENGTH

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        """Write the whole body at once."""
        if self._on_start is not None:
            self._on_start()
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
