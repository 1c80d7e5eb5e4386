"""Messages of a build newer than this one, by a schema with further members."""

from __future__ import annotations

import re
import tempfile
from pathlib import Path
from typing import Any

import capnp

from banyansail.wire import schema as present

FILE_ID = "@0x9c1f3a5b7d2e4f60"
FUTURE_FILE_ID = "@0x9c1f3a5b7d2e4f61"
SCHEMA_PATH = Path(present.__file__).with_name("schema.capnp")


def load_future_schema() -> Any:
    """Return the schema with a further member in each union and each struct."""
    text = SCHEMA_PATH.read_text().replace(FILE_ID, FUTURE_FILE_ID)
    text = re.sub(r"(?ms)^struct \w+ \{\n.*?^\}", _extend, text)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "future.capnp"
        path.write_text(text)
        return capnp.load(str(path))


def _extend(match: re.Match[str]) -> str:
    struct = match.group(0)
    number = 1 + max((int(item) for item in re.findall(r"@(\d+)", struct)), default=-1)
    if "  union {" in struct:
        member = f"    fromTheFuture @{number} :Text;\n  }}\n}}"
        return struct.removesuffix("  }\n}") + member
    return struct.removesuffix("}") + f"  fromTheFuture @{number} :Text;\n}}"


future = load_future_schema()


def future_call(call_id: int) -> bytes:
    """Return a call that this build does not know."""
    return future.Call.new_message(id=call_id, fromTheFuture="x").to_bytes_packed()


def future_reply(call_id: int) -> bytes:
    """Return a reply that this build does not know."""
    return future.Reply.new_message(id=call_id, fromTheFuture="x").to_bytes_packed()


def with_future_field(struct: str, data: bytes) -> bytes:
    """Return a packed struct with a field that this build does not know."""
    message = getattr(future, struct).from_bytes_packed(data).as_builder()
    message.fromTheFuture = "x"
    return message.to_bytes_packed()
