"""How the end of a response's body is told from a break."""

from __future__ import annotations

from enum import Enum

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
NO_BODY_STATUSES = (204, 304)


class BodyEnd(Enum):
    """What ends the body of a response (RFC 9112, section 6.3)."""

    STATED = "stated"  # its length, its last chunk, or a status without a body
    CLOSE = "close"  # the close of the connection, which may also be a break


def expected_end(
    method: bytes, status: int, headers: list[tuple[bytes, bytes]]
) -> BodyEnd:
    """Return what ends the body of a response.

    Parameters
    ----------
    method : bytes
        Method of the request.
    """
    if method == b"HEAD" or status in NO_BODY_STATUSES:
        return BodyEnd.STATED
    if any(name.lower() in FRAMING_HEADERS for name, _ in headers):
        return BodyEnd.STATED
    return BodyEnd.CLOSE
