"""Loading of the gateway by its program."""

from __future__ import annotations

import subprocess
import sys

CODE = """
import gc
from banyansail.gateway.__main__ import load_gateway
load_gateway()
print(gc.isenabled(), gc.get_freeze_count() > 10_000)
"""


def test_the_garbage_collector_runs_after_loading_and_skips_what_was_loaded():
    done = subprocess.run(
        [sys.executable, "-c", CODE], capture_output=True, text=True, check=True
    )
    assert done.stdout.split() == ["True", "True"]
