"""Parsers of option values; each raises ``ValueError`` for invalid text."""

from __future__ import annotations

import ipaddress
import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta

DURATION_UNITS_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
SIZE_UNITS_BYTES = {"B": 1, "KB": 1024, "MB": 1024**2}
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


@dataclass(slots=True, frozen=True, order=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_name(text: str) -> str:
    """Parse a name of lower-case letters, digits, dots, dashes and underscores."""
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError(
            f"{text!r} is not a name: use up to 63 of a-z, 0-9, '.', '_' and '-'"
        )
    return text


def parse_duration(text: str) -> timedelta:
    """Parse a positive duration such as ``330ms``, ``5s``, ``2h``."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s|m|h|d)", text)
    if match is None:
        raise ValueError(f"{text!r} is not a duration such as 330ms, 5s, 2h")
    duration = timedelta(seconds=float(match[1]) * DURATION_UNITS_S[match[2]])
    if duration <= timedelta(0):
        raise ValueError(f"duration {text!r} must be positive")
    return duration


def parse_size(text: str) -> int:
    """Parse a size in bytes such as ``64KB`` or ``1MB``."""
    match = re.fullmatch(r"(\d+)(B|KB|MB)", text)
    if match is None:
        raise ValueError(f"{text!r} is not a size such as 64KB or 1MB")
    return int(match[1]) * SIZE_UNITS_BYTES[match[2]]


def parse_share(text: str) -> float:
    """Parse a percentage such as ``2.5%`` into a fraction from 0 to 1."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)%", text)
    if match is None or not 0 <= float(match[1]) <= 100:
        raise ValueError(f"{text!r} is not a percentage from 0% to 100%")
    return float(match[1]) / 100


def parse_count(text: str) -> int:
    """Parse a non-negative integer of up to nine digits."""
    if not re.fullmatch(r"\d{1,9}", text):
        raise ValueError(f"{text!r} is not a whole number from 0 to 999999999")
    return int(text)


def parse_price(text: str) -> float:
    """Parse the price of an instance for one hour."""
    if not re.fullmatch(r"\d{1,9}(\.\d+)?", text):
        raise ValueError(f"{text!r} is not a price such as 0.42")
    return float(text)


def parse_flag(text: str) -> bool:
    """Parse ``yes`` or ``no``."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def parse_address(text: str) -> Address:
    """Parse an IP address with a port, such as ``10.0.0.7:8080``."""
    host, separator, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        is_valid = bool(separator) and 0 < int(port) < 65536
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(f"{text!r} is not an IP number with a port")
    return Address(host, int(port))


def parse_time(text: str) -> datetime:
    """Parse an ISO 8601 time with a time zone and convert it to UTC."""
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError(f"{text!r} is not an ISO 8601 time") from None
    if time.tzinfo is None:
        raise ValueError(f"time {text!r} needs a time zone, for example a final Z")
    return time.astimezone(UTC)


def parse_path(text: str) -> str:
    """Parse a path pattern that starts with ``/`` and may end with ``*``."""
    if not re.fullmatch(r"/[\x21-\x7e]*", text) or "*" in text[:-1]:
        raise ValueError(f"{text!r} is not a path; only its last character may be '*'")
    return text
