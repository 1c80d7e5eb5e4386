"""Completion object of a model, assembled from the events of its streamed answer."""

from __future__ import annotations

import json
from typing import Any

from banyansail.router.requests.response_outcome import Answer

DEFAULT_FINISH_REASON = "stop"  # for engines that give none


def build_completion(request_id: str, model: str, events: list[bytes]) -> Answer:
    """Return the answer to a caller that wants no stream.

    Parameters
    ----------
    events : list of bytes
        All events of the answer.
    """
    completion = {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": join_text(events)},
                "finish_reason": _finish_reason(events),
            }
        ],
        "usage": {"completion_tokens": len(events)},
    }
    return Answer(200, "application/json", json.dumps(completion).encode())


def join_text(events: list[bytes]) -> str:
    """Return the text of events."""
    return "".join(_decode_choice(raw)["delta"].get("content", "") for raw in events)


def _finish_reason(events: list[bytes]) -> str:
    """Return why the engine ended its text, such as at the limit of tokens."""
    reason = _decode_choice(events[-1]).get("finish_reason") if events else None
    return reason or DEFAULT_FINISH_REASON


def _decode_choice(raw: bytes) -> dict[str, Any]:
    data = raw.partition(b"data: ")[2]
    return json.loads(data)["choices"][0]
