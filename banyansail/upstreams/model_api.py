"""Side calls to a model engine: progress of a request, export and import of cache."""

from __future__ import annotations

import json
from typing import Any

from banyansail.upstreams.link import UpstreamLink

MAX_EXPORT_BYTES = 256 * 1024**2  # an exported cache is large


class ModelApi:
    """Side calls to one engine; each uses a new connection.

    Parameters
    ----------
    link : UpstreamLink
        The engine.
    """

    __slots__ = ("_link",)

    def __init__(self, link: UpstreamLink) -> None:
        self._link = link

    async def progress(self, attempt_id: str) -> int | None:
        """Return how many tokens of a request were made.

        ``None`` means that the engine does not know the request or that it does
        not answer.
        """
        body = await self._call("GET", f"/requests/{attempt_id}", b"")
        return None if body is None else int(body["tokens"])

    async def cancel(self, attempt_id: str) -> None:
        """Stop a request whose connection is lost on the way to the router."""
        await self._call("DELETE", f"/requests/{attempt_id}", b"")

    async def export_cache(self, attempt_id: str) -> dict[str, Any] | None:
        """Return the cache of a request, or ``None`` if it can't be had."""
        return await self._call("GET", f"/kv/{attempt_id}", b"")

    async def import_cache(self, attempt_id: str, exported: dict[str, Any]) -> bool:
        """Give an engine the cache of a request that it will resume."""
        body = json.dumps(exported).encode()
        return await self._call("PUT", f"/kv/{attempt_id}", body) is not None

    async def _call(self, method: str, path: str, body: bytes) -> Any:
        return await self._link.ask_json(method, path, body, max_bytes=MAX_EXPORT_BYTES)
