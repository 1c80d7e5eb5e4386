"""Decoding of what engines answer to calls that copy a run."""

from __future__ import annotations

import json

import pytest

from banyansail.config.fields import Address
from banyansail.gateway.decisions.streams.migration import (
    Copied,
    CopyRefused,
    CopyUnanswered,
    NoSuchRun,
)
from banyansail.platform.engine_calls import decode_copy_reply, encode_continuation
from banyansail.upstreams.http_call import HttpAnswer


def reply(status, body=b""):
    return decode_copy_reply(HttpAnswer(status, [], body))


def test_answers_are_decoded():
    body = json.dumps({"handle": "h-1", "created": 3}).encode()
    assert reply(200, body) == Copied("h-1")
    assert reply(503, body) == CopyRefused("h-1")
    assert reply(503) == CopyRefused()
    assert reply(404) == NoSuchRun()
    assert reply(409) == CopyUnanswered()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff",
        b"[1]",
        b'{"handle": 7}',
        b'{"handle": ""}',
        b'{"handle": "a b"}',
        b'{"handle": "a\\r\\nx: y"}',
        b'{"handle": "\\u00e9"}',
    ],
)
def test_an_unreadable_handle_is_no_copy(body):
    """Guards against garbled handles in a path or a header."""
    assert reply(200, body) == CopyUnanswered()
    assert reply(503, body) == CopyRefused()


def test_a_continuation_names_the_source_and_the_handle():
    header = encode_continuation(Address("10.0.0.1", 80), "h-1")
    assert header == (b"kv-from", b"10.0.0.1:80/h-1")
