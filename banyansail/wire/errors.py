"""Errors of the codecs."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import capnp

from banyansail.exceptions import WireError

# Cap'n Proto decodes lazily, so a malformed field raises when it is read.
DECODE_ERRORS = (capnp.KjException, ValueError, RuntimeError, OverflowError, OSError)


@contextmanager
def raise_as_wire_error(what: str) -> Iterator[None]:
    """Raise `WireError` in place of the errors of a decoder; also a decorator.

    Parameters
    ----------
    what : str
        What is decoded, for the message.
    """
    try:
        yield
    except DECODE_ERRORS as error:
        raise WireError(f"not {what}: {error}") from None
