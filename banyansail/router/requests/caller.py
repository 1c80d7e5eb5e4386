"""Request of a caller."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """Decoded request of a caller.

    Parameters
    ----------
    service : str
        Service that the request is routed to.
    path : str
        Path relative to the service, including the query.
    idempotency_key : str
        Idempotency key; empty if none.
    last_event_index : int
        Index of the last event that the caller received; -1 for none.
    """

    request_id: str
    service: str
    method: str
    path: str
    workspace: str
    body: bytes
    content_type: str = ""
    idempotency_key: str = ""
    last_event_index: int = -1
