"""Auxiliary calls to a model engine: progress, cancellation and cache transfer."""

from __future__ import annotations

import json
from typing import Any

from banyansail.upstreams.upstream_client import UpstreamClient

MAX_EXPORT_BYTES = 256 * 1024**2  # an exported cache is large


class EngineApi:
    """Auxiliary calls to one engine, each on a new connection.

    Parameters
    ----------
    client : UpstreamClient
        Client of the engine.
    """

    __slots__ = ("_client",)

    def __init__(self, client: UpstreamClient) -> None:
        self._client = client

    async def token_count(self, attempt_id: str) -> int | None:
        """Return how many tokens of a request the engine has generated.

        ``None`` means that the engine does not have the request or did not answer.
        """
        body = await self._call("GET", f"/requests/{attempt_id}", b"")
        return None if body is None else int(body["tokens"])

    async def cancel(self, attempt_id: str) -> None:
        """Cancel a request whose connection to the router was lost."""
        await self._call("DELETE", f"/requests/{attempt_id}", b"")

    async def export_cache(self, attempt_id: str) -> dict[str, Any] | None:
        """Return the cache of a request, or ``None`` on failure."""
        return await self._call("GET", f"/kv/{attempt_id}", b"")

    async def import_cache(self, attempt_id: str, exported: dict[str, Any]) -> bool:
        """Import the cache of a request that the engine will resume.

        Return whether the engine accepted it.
        """
        body = json.dumps(exported).encode()
        return await self._call("PUT", f"/kv/{attempt_id}", body) is not None

    async def _call(self, method: str, path: str, body: bytes) -> Any:
        return await self._client.request_json(
            method, path, body, max_bytes=MAX_EXPORT_BYTES
        )
