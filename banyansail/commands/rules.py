"""Commands ``rules check|apply|show|history|diff|reference|status``."""

from __future__ import annotations

import difflib
import json
import sys
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any

from banyansail.clock import SystemClock
from banyansail.commands.remote import fetch_router_json, run_with_platform
from banyansail.commands.table import format_table
from banyansail.config.findings import Finding, has_errors
from banyansail.config.reference import format_reference
from banyansail.config.rule_parser import parse_rules
from banyansail.config.rule_store import (
    LostRaceError,
    apply_rules,
    decode_history,
    read_rules,
)
from banyansail.exceptions import ConfigError

if TYPE_CHECKING:
    from banyansail.coordination.client import PlatformClient


def run(arguments: dict[str, Any]) -> int:
    """Run one of the ``rules`` commands."""
    if arguments["check"]:
        return check(arguments["FILE"], strict=arguments["--strict"])
    if arguments["apply"]:
        return apply(arguments)
    if arguments["show"]:
        return show(arguments["--platform"])
    if arguments["history"]:
        return history(arguments["--platform"])
    if arguments["diff"]:
        return diff(arguments["FILE"], arguments["--platform"])
    if arguments["reference"]:
        print(format_reference(), end="")
        return 0
    return show_status(arguments["--router"], as_json=arguments["--json"])


def check(file: str, *, strict: bool) -> int:
    """Print all findings of a file."""
    _, findings = parse_rules(_read_file(file), file)
    for finding in findings:
        print(finding)
    if has_errors(findings, strict=strict):
        return 1
    print(f"{file}: no errors")
    return 0


def apply(arguments: dict[str, Any]) -> int:
    """Check a file and store its rules at the platform."""
    file = arguments["FILE"]
    text = _read_file(file)
    if check(file, strict=arguments["--strict"]) != 0:
        print("nothing was applied", file=sys.stderr)
        return 1
    expected = arguments["--expect"]

    async def operation(platform: PlatformClient) -> int:
        try:
            accepted = await apply_rules(
                platform,
                text,
                operator=arguments["--by"],
                update_id=uuid.uuid4().hex,
                accepted_at=SystemClock().now(),
                expected=None if expected is None else int(expected),
            )
        except LostRaceError as error:
            print(error.message, file=sys.stderr)
            _print_diff(error.winner.text, text, "in force", file)
            return 1
        print(f"accepted as version {accepted.version}")
        return 0

    return run_with_platform(arguments["--platform"], operation)


def show(platform_address: str) -> int:
    """Print the text of the accepted rules."""
    current, _ = run_with_platform(platform_address, read_rules)
    print(current.text, end="")
    print(f"version {current.version}, applied by {current.operator}", file=sys.stderr)
    return 0


def history(platform_address: str) -> int:
    """Print the accepted versions with the operator and time of each."""
    current, body = run_with_platform(platform_address, read_rules)
    rows = [
        [
            str(item.version),
            item.accepted_at.isoformat(timespec="seconds"),
            item.operator,
        ]
        for item in decode_history(current, body)
    ]
    print(format_table(["version", "applied", "by"], rows))
    return 0


def diff(file: str, platform_address: str) -> int:
    """Print the difference between the accepted rules and a file."""
    current, _ = run_with_platform(platform_address, read_rules)
    _print_diff(current.text, _read_file(file), f"version {current.version}", file)
    return 0


def show_status(router_address: str, *, as_json: bool) -> int:
    """Print the rules version of each router, and which routers are not live."""
    members = fetch_router_json(router_address, "/status")["members"]
    if as_json:
        print(json.dumps(members, indent=2))
        return 0
    rows = [
        [
            item["name"],
            item["zone"],
            str(item["rules_version"]),
            item["rules_since"],
            "yes" if item["live"] else f"no, last seen {item['heard_s']:.0f} s ago",
        ]
        for item in members
    ]
    print(format_table(["router", "zone", "version", "in force since", "live"], rows))
    return 0


def _print_diff(before: str, after: str, before_name: str, after_name: str) -> None:
    lines = difflib.unified_diff(
        before.splitlines(), after.splitlines(), before_name, after_name, lineterm=""
    )
    for line in lines:
        print(line)


def _read_file(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError([Finding(file, 1, 1, f"cannot be read: {error}")]) from None
