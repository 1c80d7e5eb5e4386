"""Cap'n Proto schema, loaded at run time without generated code."""

from __future__ import annotations

from pathlib import Path

import capnp

capnp.remove_import_hook()

schema = capnp.load(str(Path(__file__).with_name("schema.capnp")))
