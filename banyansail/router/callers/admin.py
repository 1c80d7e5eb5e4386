"""Resource of the admin listener: status of the router as JSON."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from twisted.web.resource import Resource
from twisted.web.server import Request


class AdminResource(Resource):
    """Serves ``/status``.

    Parameters
    ----------
    read_status : callable
        Returns the status.
    """

    isLeaf = True

    def __init__(self, read_status: Callable[[], dict[str, Any]]) -> None:
        super().__init__()
        self._read_status = read_status

    def render_GET(self, request: Request) -> bytes:
        """Return the status, or 404 for any other path."""
        request.setHeader("content-type", "application/json")
        if request.path != b"/status":
            request.setResponseCode(404)
            return b"{}"
        return json.dumps(self._read_status()).encode()
