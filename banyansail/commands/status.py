"""Command ``status``."""

from __future__ import annotations

import json
from typing import Any

from banyansail.commands.remote import fetch_router_json
from banyansail.commands.table import format_table

UPSTREAM_COLUMNS = ("name", "service", "version", "zone", "in_flight", "limit")


def run(arguments: dict[str, Any]) -> int:
    """Print the status of a router and of its upstreams."""
    status = fetch_router_json(arguments["--router"], "/status")
    if arguments["--json"]:
        print(json.dumps(status, indent=2))
        return 0
    print(
        f"{status['name']}: {status['state']}, rules version "
        f"{status['rules_version']}, {status['in_progress']} requests in progress"
    )
    rows = [
        [*(str(item[name]) for name in UPSTREAM_COLUMNS), _upstream_condition(item)]
        for item in status["upstreams"]
    ]
    print(format_table([*UPSTREAM_COLUMNS, "condition"], rows))
    return 0


def _upstream_condition(upstream: dict[str, Any]) -> str:
    if upstream["leaving"]:
        return "leaving"
    return "suspect" if upstream["suspect"] else "in service"
