"""Reads what a caller asks for from its HTTP request."""

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
from banyansail.router.caller import CallerRequest
from banyansail.routing.request_types import Refusal, RefusalCode, RunStatus

if TYPE_CHECKING:
    from twisted.web.server import Request

COMPLETIONS_PATH = "/v1/chat/completions"
STREAMS_PATH = "/v1/streams/"
DEFAULT_WORKSPACE = "default"
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
URI_PATTERN = re.compile(r"/[\x21-\x7e]*")
MAX_MESSAGES = 1000


class BadRequestError(Exception):
    """The caller's request can't be understood."""

    def refusal(self) -> Refusal:
        """Return the answer to the caller."""
        return Refusal(400, RefusalCode.BAD_REQUEST, RunStatus.NOT_RUN, str(self))


@dataclass(slots=True, frozen=True)
class ParsedRequest:
    """A request and what goes with it.

    Parameters
    ----------
    timeout : timedelta or None
        The caller's own deadline.
    completion : dict or None
        Decoded body of a completion.
    """

    request: CallerRequest
    timeout: timedelta | None
    completion: dict[str, Any] | None = None


def new_request_id() -> str:
    """Return an identity for a request."""
    return uuid.uuid4().hex[:20]


def parse_request(http: Request, request_id: str) -> ParsedRequest:
    """Read a request.

    Raises
    ------
    BadRequestError
        If the request is malformed.
    """
    uri = _read_uri(http)
    body = http.content.read()
    workspace = _header(http, "x-workspace") or DEFAULT_WORKSPACE
    if not NAME_PATTERN.fullmatch(workspace):
        raise BadRequestError("header X-Workspace is not a name")
    timeout = _read_timeout(http)
    path = uri.partition("?")[0]
    if path == COMPLETIONS_PATH:
        return _parse_completion(http, request_id, workspace, body, timeout)
    service, separator, rest = uri[1:].partition("/")
    if not NAME_PATTERN.fullmatch(service):
        raise BadRequestError(f"{service!r} is not the name of a service")
    request = CallerRequest(
        request_id,
        service,
        http.method.decode("ascii", "replace"),
        separator + rest or "/",
        workspace,
        body,
        _header(http, "content-type"),
        _read_key(http),
    )
    return ParsedRequest(request, timeout)


def fingerprint_of(request: CallerRequest) -> int:
    """Return a hash that equal requests share, at every router."""
    digest = xxhash.xxh64()
    for part in (request.workspace, request.service, request.method, request.path):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.intdigest()


def _parse_completion(
    http: Request,
    request_id: str,
    workspace: str,
    body: bytes,
    timeout: timedelta | None,
) -> ParsedRequest:
    if http.method != b"POST":
        raise BadRequestError("completions are asked for by POST")
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
    """Decode and check the body of a completion.

    Raises
    ------
    BadRequestError
        If it is malformed.
    """
    try:
        completion = json.loads(body)
    except (ValueError, RecursionError):
        raise BadRequestError("the body is not JSON") from None
    if not isinstance(completion, dict):
        raise BadRequestError("the body is not a JSON object")
    model = completion.get("model")
    if not isinstance(model, str) or not NAME_PATTERN.fullmatch(model):
        raise BadRequestError("'model' is not the name of a service")
    messages = completion.get("messages")
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise BadRequestError(f"'messages' is not a list of 1 to {MAX_MESSAGES}")
    if not all(isinstance(item, dict) for item in messages):
        raise BadRequestError("an item of 'messages' is not an object")
    for name in ("resume_from", "resume_text"):
        completion.pop(name, None)
    return completion


def read_last_event(http: Request) -> int:
    """Return the index of the last event that the caller has; -1 for none."""
    text = _header(http, "last-event-id")
    if not text:
        return -1
    if not re.fullmatch(r"\d{1,9}", text):
        raise BadRequestError("header Last-Event-ID is not an index")
    return int(text)


def _read_uri(http: Request) -> str:
    uri = http.uri.decode("latin-1")
    if not URI_PATTERN.fullmatch(uri):
        raise BadRequestError("the path has characters that are not allowed")
    segments = unquote(uri.partition("?")[0]).split("/")
    if "." in segments or ".." in segments:
        raise BadRequestError("the path has dot segments")
    return uri


def _read_timeout(http: Request) -> timedelta | None:
    text = _header(http, "x-deadline-seconds")
    if not text:
        return None
    if not re.fullmatch(r"\d{1,6}(\.\d{1,6})?", text) or float(text) <= 0:
        raise BadRequestError("header X-Deadline-Seconds is not a positive number")
    return timedelta(seconds=float(text))


def _read_key(http: Request) -> str:
    key = _header(http, "idempotency-key")
    if key and not KEY_PATTERN.fullmatch(key):
        raise BadRequestError(
            "header Idempotency-Key needs 1 to 200 visible characters"
        )
    return key


def _header(http: Request, name: str) -> str:
    values = http.requestHeaders.getRawHeaders(name, [])
    if len(values) > 1:
        raise BadRequestError(f"header {name} is given twice")
    return values[0] if values else ""
