"""Parsing and validation of callers' HTTP requests."""

from __future__ import annotations

import json
import re
import uuid
from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import xxhash

from banyansail.config.fields import NAME_PATTERN
from banyansail.router.requests.caller import CallerRequest
from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus

if TYPE_CHECKING:
    from twisted.web.server import Request

COMPLETIONS_PATH = "/v1/chat/completions"
STREAMS_PATH = "/v1/streams/"
DEFAULT_WORKSPACE = "default"
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
URI_PATTERN = re.compile(r"/[\x21-\x7e]*")
MAX_MESSAGES = 1000


class BadRequestError(Exception):
    """The caller's request is malformed."""

    def refusal(self) -> Refusal:
        """Return the refusal to send to the caller."""
        return Refusal(400, RefusalCode.BAD_REQUEST, RunStatus.NOT_RUN, str(self))


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """A request with its timeout and decoded body.

    Parameters
    ----------
    timeout : timedelta or None
        Timeout that the caller requested.
    completion : dict or None
        Decoded body of a completion request.
    """

    request: CallerRequest
    timeout: timedelta | None
    completion: dict[str, Any] | None = None


def new_request_id() -> str:
    """Return a unique ID for a request."""
    return uuid.uuid4().hex[:20]


def parse_request(http_request: Request, request_id: str) -> ParsedRequest:
    """Parse and validate a request.

    Raises
    ------
    BadRequestError
        If the request is malformed.
    """
    uri = _read_uri(http_request)
    body = http_request.content.read()
    workspace = _read_header(http_request, "x-workspace") or DEFAULT_WORKSPACE
    if not NAME_PATTERN.fullmatch(workspace):
        raise BadRequestError("header X-Workspace is not a valid name")
    timeout = _read_timeout(http_request)
    path = uri.partition("?")[0]
    if path == COMPLETIONS_PATH:
        return _parse_completion(http_request, request_id, workspace, body, timeout)
    service, separator, service_path = uri[1:].partition("/")
    if not NAME_PATTERN.fullmatch(service):
        raise BadRequestError(f"{service!r} is not a valid service name")
    request = CallerRequest(
        request_id,
        service,
        http_request.method.decode("ascii", "replace"),
        separator + service_path or "/",
        workspace,
        body,
        _read_header(http_request, "content-type"),
        _read_idempotency_key(http_request),
    )
    return ParsedRequest(request, timeout)


def request_fingerprint(request: CallerRequest) -> int:
    """Return a hash of a request that is the same at all routers."""
    digest = xxhash.xxh64()
    for part in (request.workspace, request.service, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.intdigest()


def _parse_completion(
    http_request: Request,
    request_id: str,
    workspace: str,
    body: bytes,
    timeout: timedelta | None,
) -> ParsedRequest:
    if http_request.method != b"POST":
        raise BadRequestError("completions require the method POST")
    completion = decode_completion(body)
    request = CallerRequest(
        request_id,
        completion["model"],
        "POST",
        COMPLETIONS_PATH,
        workspace,
        body,
        "application/json",
    )
    return ParsedRequest(request, timeout, completion)


def decode_completion(body: bytes) -> dict[str, Any]:
    """Decode and validate the body of a completion request.

    Raises
    ------
    BadRequestError
        If the body is malformed.
    """
    try:
        completion = json.loads(body)
    except (ValueError, RecursionError):
        raise BadRequestError("the body is not valid JSON") from None
    if not isinstance(completion, dict):
        raise BadRequestError("the body is not a JSON object")
    model = completion.get("model")
    if not isinstance(model, str) or not NAME_PATTERN.fullmatch(model):
        raise BadRequestError("'model' is not a valid service name")
    messages = completion.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise BadRequestError(f"'messages' must be a list of 1 to {MAX_MESSAGES} items")
    if not all(isinstance(item, dict) for item in messages):
        raise BadRequestError("an item of 'messages' is not an object")
    for name in ("resume_from", "resume_text"):
        completion.pop(name, None)
    return completion


def read_last_event_index(http_request: Request) -> int:
    """Return the index of the last event that the caller received; -1 for none."""
    value = _read_header(http_request, "last-event-id")
    if not value:
        return -1
    if not re.fullmatch(r"\d{1,9}", value):
        raise BadRequestError("header Last-Event-ID is not an event index")
    return int(value)


def _read_uri(http_request: Request) -> str:
    uri = http_request.uri.decode("latin-1")
    if not URI_PATTERN.fullmatch(uri):
        raise BadRequestError("the path contains invalid characters")
    segments = unquote(uri.partition("?")[0]).split("/")
    if "." in segments or ".." in segments:
        raise BadRequestError("the path contains dot segments")
    return uri


def _read_timeout(http_request: Request) -> timedelta | None:
    value = _read_header(http_request, "x-deadline-seconds")
    if not value:
        return None
    if not re.fullmatch(r"\d{1,6}(\.\d{1,6})?", value) or float(value) <= 0:
        raise BadRequestError("header X-Deadline-Seconds is not a positive number")
    return timedelta(seconds=float(value))


def _read_idempotency_key(http_request: Request) -> str:
    key = _read_header(http_request, "idempotency-key")
    if key and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise BadRequestError(
            "header Idempotency-Key must have 1 to 200 visible ASCII characters"
        )
    return key


def _read_header(http_request: Request, name: str) -> str:
    values = http_request.requestHeaders.getRawHeaders(name, [])
    if len(values) > 1:
        raise BadRequestError(f"header {name} is given more than once")
    return values[0] if values else ""
