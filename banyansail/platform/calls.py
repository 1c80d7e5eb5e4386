"""Requests of callers and answers of upstreams, decoded once into our types."""

from __future__ import annotations

from datetime import timedelta

import xxhash

from banyansail.exceptions import CallError
from banyansail.gateway.request_types import (
    CallerCall,
    HeaderList,
    Prompt,
    PromptPart,
    ReplyHead,
    RunStatus,
)
from banyansail.platform import names

# Headers of one connection only, and those that the HTTP library writes itself.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
MAX_DEADLINE_MS = 3_600_000
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def decode_call(
    method: bytes, target: bytes, headers: HeaderList, body: bytes
) -> CallerCall:
    """Decode a request.

    Raises
    ------
    CallError
        If a header can't be read.
    """
    first_by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        first_by_name.setdefault(name.lower(), value)
    dropped = _listed_in_connection(first_by_name)
    passed = [
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS
        and name.lower() not in names.ROUTER_HEADERS
        and name.lower() not in dropped
    ]
    path = target.partition(b"?")[0].decode("latin-1")
    key = first_by_name.get(names.KEY, b"").decode("latin-1").strip()
    return CallerCall(
        method=method,
        target=target,
        host=first_by_name.get(b"host", b"").decode("latin-1").strip().lower(),
        path=path,
        headers=passed,
        body=body,
        attempt_id=first_by_name.get(names.ATTEMPT_ID, b"").decode("latin-1").strip(),
        key=key,
        timeout=_read_deadline(first_by_name.get(names.DEADLINE_MS)),
        last_event_id=first_by_name.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
        prompt=_read_prompt(first_by_name),
        fingerprint=_fingerprint(key, method, target, body),
    )


def encode_attempt(
    call: CallerCall,
    *,
    upstream_id: str,
    workspace: str,
    remaining: timedelta,
    urgency: int | None = None,
    last_event_id: str = "",
) -> HeaderList:
    """Return the headers of an attempt at one upstream."""
    headers = list(call.headers)
    remaining_ms = max(1, int(remaining.total_seconds() * 1000))
    headers.append((names.DEADLINE_MS, b"%d" % remaining_ms))
    headers.append((names.EXPECT_UPSTREAM, upstream_id.encode()))
    if workspace:
        headers.append((names.WORKSPACE, workspace.encode()))
    if urgency is not None:
        headers.append((names.URGENCY, b"%d" % urgency))
    if last_event_id:
        headers.append((names.LAST_EVENT_ID, last_event_id.encode("latin-1")))
    if call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % len(call.body)))
    return headers


def decode_reply(status: int, reason: bytes, headers: HeaderList) -> ReplyHead:
    """Decode the head of an upstream's answer."""
    first_by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        first_by_name.setdefault(name.lower(), value)
    has_not_run = names.NOT_EXECUTED in first_by_name or status == 421
    return ReplyHead(
        status,
        reason,
        [item for item in headers if item[0].lower() not in CONNECTION_HEADERS],
        first_by_name.get(names.ATTEMPT_ID, b"").decode("latin-1"),
        names.STAMP in first_by_name,
        RunStatus.NOT_RUN if has_not_run else RunStatus.RAN,
        is_misdirected=status == 421,
    )


def _listed_in_connection(first_by_name: dict[bytes, bytes]) -> set[bytes]:
    listed = first_by_name.get(b"connection", b"").split(b",")
    return {item.strip().lower() for item in listed} - {names.ATTEMPT_ID, b"host"}


def _read_deadline(value: bytes | None) -> timedelta | None:
    if value is None:
        return None
    text = value.strip()
    if not text.isdigit() or int(text) > MAX_DEADLINE_MS:
        raise CallError(f"the deadline {text[:20]!r} is no number of milliseconds")
    return timedelta(milliseconds=int(text))


def _read_prompt(first_by_name: dict[bytes, bytes]) -> Prompt | None:
    counts = first_by_name.get(names.TOKEN_COUNT)
    if counts is None:
        return None
    try:
        prompt_tokens, _, max_output = counts.partition(b",")
        hint = first_by_name.get(names.LENGTH_HINT)
        return Prompt(
            first_by_name.get(names.MODEL, b"").decode("latin-1"),
            int(prompt_tokens),
            int(max_output or 0),
            _read_parts(first_by_name.get(names.PROMPT_PREFIX, b"")),
            int(hint) if hint else None,
        )
    except ValueError as error:
        raise CallError(f"the prompt's headers can't be read: {error}") from None


def _read_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        part_id, separator, tokens = item.strip().partition(b":")
        if separator:
            parts.append(PromptPart(part_id.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _fingerprint(key: str, method: bytes, target: bytes, body: bytes) -> int:
    digest = xxhash.xxh64(key.encode())
    digest.update(method + b" " + target + b"\0")
    digest.update(body)
    return digest.intdigest()
