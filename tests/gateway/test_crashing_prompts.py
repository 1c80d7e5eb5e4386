"""A running gateway whose upstreams crash on one part of a prompt."""

from __future__ import annotations

import time

import pytest

from tests.gateway.live_gateway import LiveGateway

ENGINES = tuple(f"e{number}" for number in range(12))
MAX_CRASHES = 5


def ask(live, name, *parts):
    prefix = ",".join(f"{part}:100" for part in (*parts, f"own-{name}"))
    return live.call(
        "POST",
        f"/draft/{name}",
        b"x",
        X_Model="m",
        X_Token_Count=f"{100 * (len(parts) + 1)},10",
        X_Prompt_Prefix=prefix,
    )[0]


@pytest.mark.parametrize("routers", [1, 2])
def test_a_part_of_prompts_that_crashes_upstreams_crashes_no_more_than_five(routers):
    with LiveGateway(replicas=ENGINES, routers=routers) as live:
        live.set_faults("e", crashes_on_part="bad")
        for number in range(10):
            ask(live, f"crashing{number}", "shared", "bad")
            assert ask(live, f"sound{number}", "shared") == 200
            time.sleep(0.3)
        crashed = [name for name in ENGINES if live.running_by_name[name].port is None]
        assert 0 < len(crashed) <= MAX_CRASHES
        assert ask(live, "later", "shared", "bad") == 500
