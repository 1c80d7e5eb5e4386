"""Commands ``rollout status|take-back``."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

from banyansail.clock import SystemClock
from banyansail.commands.remote import run_with_platform
from banyansail.commands.table import format_table
from banyansail.config.rule_parser import parse_rules
from banyansail.config.rule_store import read_rules
from banyansail.coordination.budget import CallKind
from banyansail.coordination.move_status import publish_final_status
from banyansail.rollout.status import (
    MoveState,
    MoveStatus,
    decode_status,
    move_id,
    status_key,
)

if TYPE_CHECKING:
    from banyansail.config.rules import RolloutRule
    from banyansail.coordination.client import PlatformClient


def run(arguments: dict[str, Any]) -> int:
    """Run one of the ``rollout`` commands."""
    if arguments["status"]:
        return show_status(arguments["--platform"], as_json=arguments["--json"])
    return take_back(
        arguments["SERVICE"],
        arguments["--platform"],
        by=arguments["--by"],
        why=arguments["--why"],
    )


def show_status(platform_address: str, *, as_json: bool) -> int:
    """Print the published status of each move."""

    async def operation(platform: PlatformClient) -> list[dict[str, str]]:
        rollouts = await _read_rollouts(platform)
        return [
            await _describe(platform, service, rule)
            for service, rule in rollouts.items()
        ]

    moves = run_with_platform(platform_address, operation)
    if as_json:
        print(json.dumps(moves, indent=2))
        return 0
    header = ["service", "from", "to", "deadline", "state", "since", "reason"]
    rows = [[item[name] for name in header] for item in moves]
    print(format_table(header, rows))
    return 0


def take_back(service: str, platform_address: str, *, by: str, why: str) -> int:
    """Revert a move permanently."""

    async def operation(platform: PlatformClient) -> MoveStatus | None:
        rule = (await _read_rollouts(platform)).get(service)
        if rule is None:
            return None
        new_status = MoveStatus(
            move_id(rule), MoveState.REVERTED, SystemClock().now(), why, by
        )
        return await publish_final_status(platform, service, new_status)

    status = run_with_platform(platform_address, operation)
    if status is None:
        print(f"service {service!r} has no rollout", file=sys.stderr)
        return 1
    print(f"{status.move_id}: {status.state.value} by {status.writer}: {status.reason}")
    return 0 if status.state is MoveState.REVERTED else 1


async def _read_rollouts(platform: PlatformClient) -> dict[str, RolloutRule]:
    current, _ = await read_rules(platform)
    rules, _ = parse_rules(current.text)
    return rules.rollout_by_service


async def _describe(
    platform: PlatformClient, service: str, rule: RolloutRule
) -> dict[str, str]:
    stored = await platform.get(status_key(service), CallKind.STATUS)
    status = decode_status(stored.body)
    is_current = status is not None and status.move_id == move_id(rule)
    return {
        "service": service,
        "from": rule.old_version,
        "to": rule.new_version,
        "deadline": rule.deadline.isoformat(timespec="seconds"),
        "state": status.state.value if is_current else "not published yet",
        "since": status.recorded_at.isoformat(timespec="seconds")
        if is_current
        else "-",
        "reason": f"{status.reason} ({status.writer})" if is_current else "-",
    }
