"""Decoding of caller requests and upstream answers, encoding of attempt headers."""

from __future__ import annotations

import math
from datetime import timedelta

import xxhash

from banyansail.exceptions import CallError
from banyansail.gateway.request_types import (
    FIRST_REDIRECT_STATUS,
    CallerCall,
    HeaderList,
    Prompt,
    PromptPart,
    ReplyHead,
    RunStatus,
)
from banyansail.platform import header_names
from banyansail.upstreams.body_end import BodyEnd

# Hop-by-hop headers, and headers that the HTTP client or server sets itself.
HOP_BY_HOP_HEADERS = frozenset(
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
MAX_TOKENS = 1_000_000_000  # of one request
MAX_DEADLINE_MS = 3_600_000  # 1 hour
MAX_COLD_MS = 3_600_000
MAX_PAUSE = timedelta(days=1)  # that an upstream may ask for


def decode_call(
    method: bytes, target: bytes, headers: HeaderList, body: bytes
) -> CallerCall:
    """Decode a request.

    Raises
    ------
    CallError
        If a header is malformed.
    """
    first_value_by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        first_value_by_name.setdefault(name.lower(), value)
    connection_options = _decode_connection_options(first_value_by_name)
    forwarded = [
        (name, value)
        for name, value in headers
        if name.lower() not in HOP_BY_HOP_HEADERS
        and name.lower() not in header_names.RESERVED_HEADERS
        and name.lower() not in connection_options
    ]
    path = target.partition(b"?")[0].decode("latin-1")
    api_key = (
        first_value_by_name.get(header_names.API_KEY, b"").decode("latin-1").strip()
    )
    return CallerCall(
        method=method,
        target=target,
        host=first_value_by_name.get(b"host", b"").decode("latin-1").strip().lower(),
        path=path,
        headers=forwarded,
        body=body,
        attempt_id=first_value_by_name.get(header_names.ATTEMPT_ID, b"")
        .decode("latin-1")
        .strip(),
        key=api_key,
        timeout=_decode_deadline(first_value_by_name.get(header_names.DEADLINE_MS)),
        last_event_id=first_value_by_name.get(header_names.LAST_EVENT_ID, b"").decode(
            "latin-1"
        ),
        prompt=_decode_prompt(first_value_by_name),
        fingerprint=_hash_request(api_key, method, target, body),
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
    """Return the headers of an attempt at an upstream."""
    headers = _start_headers(call, remaining, last_event_id)
    headers.append((header_names.EXPECT_UPSTREAM, upstream_id.encode()))
    if workspace:
        headers.append((header_names.WORKSPACE, workspace.encode()))
    if urgency is not None:
        headers.append((header_names.URGENCY, b"%d" % urgency))
    return headers


def encode_relayed(
    call: CallerCall, *, remaining: timedelta, last_event_id: str, possible_runs: int
) -> HeaderList:
    """Return the headers of a request that another router shall serve."""
    headers = _start_headers(call, remaining, last_event_id)
    if call.key:
        headers.append((header_names.API_KEY, call.key.encode("latin-1")))
    headers.append((header_names.POSSIBLE_RUNS, b"%d" % possible_runs))
    return headers


def decode_possible_runs(headers: HeaderList) -> int:
    """Return how many earlier attempts may have run a relayed request.

    Raises
    ------
    CallError
        If the router that relays it did not say so.
    """
    for name, value in headers:
        if name.lower() == header_names.POSSIBLE_RUNS and value.isdigit():
            return int(value)
    raise CallError("a relayed request must say how often it may have run")


def _start_headers(
    call: CallerCall, remaining: timedelta, last_event_id: str
) -> HeaderList:
    headers = list(call.headers)
    remaining_ms = max(1, int(remaining.total_seconds() * 1000))
    headers.append((header_names.DEADLINE_MS, b"%d" % remaining_ms))
    if last_event_id:
        headers.append((header_names.LAST_EVENT_ID, last_event_id.encode("latin-1")))
    if call.body or call.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % len(call.body)))
    return headers


def decode_reply(
    status: int, reason: bytes, headers: HeaderList, end: BodyEnd = BodyEnd.STATED
) -> ReplyHead:
    """Decode the head of an upstream's answer, whose body ends with `end`."""
    first_value_by_name: dict[bytes, bytes] = {}
    for name, value in headers:
        first_value_by_name.setdefault(name.lower(), value)
    is_rejection = header_names.NOT_EXECUTED in first_value_by_name
    # A success has run, whatever its headers say.
    has_not_run = status == 421 or (is_rejection and status >= FIRST_REDIRECT_STATUS)
    return ReplyHead(
        status,
        reason,
        [item for item in headers if item[0].lower() not in HOP_BY_HOP_HEADERS],
        first_value_by_name.get(header_names.ATTEMPT_ID, b"").decode("latin-1"),
        header_names.REPLICA_STAMP in first_value_by_name,
        RunStatus.NOT_RUN if has_not_run else RunStatus.RAN,
        is_misdirected=status == 421,
        is_leaving=first_value_by_name.get(header_names.UPSTREAM_LEAVING) == b"1",
        pause=_decode_pause(status, first_value_by_name.get(header_names.RETRY_AFTER)),
        is_brittle=header_names.UPSTREAM_BRITTLE in first_value_by_name,
        limit=_decode_limit(first_value_by_name.get(header_names.UPSTREAM_LIMIT)),
        cold_left=_decode_cold(first_value_by_name.get(header_names.UPSTREAM_COLD_MS)),
        end=end,
    )


def _decode_cold(value: bytes | None) -> timedelta | None:
    """Return how long the upstream stays cold; ``None`` if it does not say so."""
    try:
        milliseconds = math.nan if value is None else float(value)
    except ValueError:
        return None
    if not 0 <= milliseconds <= MAX_COLD_MS:
        return None
    return timedelta(milliseconds=milliseconds)


def _decode_pause(status: int, value: bytes | None) -> timedelta | None:
    """Return the pause that a 503 asks for.

    The protocol gives it in seconds, with fractions. A date, a negative value or an
    unreadable one asks for nothing; a longer pause is treated as `MAX_PAUSE`.
    """
    if status != 503 or value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    if not seconds > 0:  # also false for a number that is not one
        return None
    return timedelta(seconds=min(seconds, MAX_PAUSE.total_seconds()))


def _decode_limit(value: bytes | None) -> float | None:
    """Return the requests per second that an answer names, ``None`` for no limit."""
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def _decode_connection_options(first_value_by_name: dict[bytes, bytes]) -> set[bytes]:
    # The attempt id and the host are forwarded even if a caller lists them here.
    options = first_value_by_name.get(b"connection", b"").split(b",")
    return {item.strip().lower() for item in options} - {
        header_names.ATTEMPT_ID,
        b"host",
    }


def _decode_deadline(value: bytes | None) -> timedelta | None:
    if value is None:
        return None
    text = value.strip()
    if not text.isdigit() or int(text) > MAX_DEADLINE_MS:
        raise CallError(f"deadline {text[:20]!r} is not a valid number of milliseconds")
    return timedelta(milliseconds=int(text))


def _decode_prompt(first_value_by_name: dict[bytes, bytes]) -> Prompt | None:
    token_counts = first_value_by_name.get(header_names.TOKEN_COUNT)
    if token_counts is None:
        return None
    try:
        prompt_tokens, _, max_output_tokens = token_counts.partition(b",")
        length_hint = first_value_by_name.get(header_names.LENGTH_HINT)
        return Prompt(
            first_value_by_name.get(header_names.MODEL, b"").decode("latin-1"),
            _decode_tokens(prompt_tokens),
            _decode_tokens(max_output_tokens or b"0"),
            _decode_prefix(first_value_by_name.get(header_names.PROMPT_PREFIX, b"")),
            _decode_tokens(length_hint) if length_hint else None,
        )
    except ValueError as error:
        raise CallError(f"malformed prompt headers: {error}") from None


def _decode_tokens(value: bytes) -> int:
    tokens = int(value)
    if not 0 <= tokens <= MAX_TOKENS:
        raise ValueError(f"a number of tokens is not in 0 to {MAX_TOKENS}")
    return tokens


def _decode_prefix(value: bytes) -> tuple[PromptPart, ...]:
    parts = []
    for item in value.split(b","):
        part_id, separator, tokens = item.strip().partition(b":")
        if separator:
            parts.append(PromptPart(part_id.decode("latin-1"), _decode_tokens(tokens)))
    return tuple(parts)


def _hash_request(api_key: str, method: bytes, target: bytes, body: bytes) -> int:
    digest = xxhash.xxh64(api_key.encode())
    digest.update(method + b" " + target + b"\0")
    digest.update(body)
    return digest.intdigest()
