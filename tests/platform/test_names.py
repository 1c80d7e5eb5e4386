"""The platform's wire names are used only in its adapter and in the stand-ins."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parents[2] / "banyansail"
ALLOWED = ("platform", "standins")
NAMES = (
    "x-attempt-id",
    "x-replica-stamp",
    "server-leaving",
    "store-era",
    "x-prompt-prefix",
    "x-deadline-ms",
    "x-tenant",
    "x-expect-replica",
    "x-not-executed",
    "x-duty-holder",
    "x-fence-token",
    "api-key",
    "apiKeys",
    "pathPrefix",
    "routeType",
    "trafficSplit",
    "maxAttempts",
    "sloMs",
    "streamResume",
    "noAuth",
    "ratePerS",
    "zonePrices",
    "coldLeftMs",
    "coldPerS",
    "coldStartS",
    "x-cold-ms",
    "leaves_ms",
    "rolled_back",
    "windowId",
    "durationS",
)


def test_no_name_of_the_platform_stands_outside_its_folder():
    pattern = re.compile("|".join(map(re.escape, NAMES)), re.IGNORECASE)
    found = [
        f"{file.relative_to(PACKAGE)}:{number}: {line.strip()}"
        for file in sorted(PACKAGE.rglob("*.py"))
        if file.relative_to(PACKAGE).parts[0] not in ALLOWED
        for number, line in enumerate(file.read_text().splitlines(), 1)
        if pattern.search(line)
    ]
    assert found == []
