"""Work of requests, the unit in which workspaces share the capacity of a service.

The work of a prompt is counted in prompt tokens to prefill. A request to a plain
service counts as one slot time. The two are never compared, since each service has
requests of one kind.
"""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from banyansail.gateway.decisions.upstreams.choice import ASSUMED_CACHED_SHARE
from banyansail.gateway.decisions.upstreams.upstream_load import ENGINE_BASE_LATENCY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from banyansail.gateway.request_types import Prompt
    from banyansail.gateway.site import Workspace

# One of 32 slots holds an engine's decoding for 29 ms per token, in which the engine
# prefills 61.8 x 29 / 32 = 56 prompt tokens; 48 slots at 93 per ms give the same.
OUTPUT_TOKEN_WEIGHT = 56.0
PLAIN_WORK = 1.0
MS = timedelta(milliseconds=1)


def assigned_work(prompt: Prompt | None, prefill_tokens: int) -> float:
    """Return the work of a request at an upstream that prefills some of its tokens."""
    if prompt is None:
        return PLAIN_WORK
    output = prompt.max_output
    if prompt.expected_output is not None:
        # A hint above the maximum would let a caller appear to do more work.
        output = min(prompt.expected_output, output or prompt.expected_output)
    return max(1.0, prefill_tokens + output * OUTPUT_TOKEN_WEIGHT)


def expected_work(prompt: Prompt | None) -> float:
    """Return the work of a waiting request, whose upstream is not known yet."""
    return assigned_work(prompt, expected_prefill_tokens(prompt))


def expected_prefill_tokens(prompt: Prompt | None) -> int:
    """Return the tokens that the preferred upstream of a prompt has to prefill."""
    if prompt is None:
        return 0
    shared = sum(part.tokens for part in prompt.parts[:-1])
    return max(0, int(prompt.tokens - shared * ASSUMED_CACHED_SHARE))


def expected_answer_time(
    prompt: Prompt | None, tokens_per_ms: float, mean_slot_time: timedelta
) -> timedelta:
    """Return the least time from an assignment to the first token or plain answer.

    Parameters
    ----------
    tokens_per_ms : float
        Prefill rate of the service's engines.
    mean_slot_time : timedelta
        Mean time for which a request of the service holds a slot.
    """
    if prompt is None:
        return mean_slot_time
    return ENGINE_BASE_LATENCY + expected_prefill_tokens(prompt) / tokens_per_ms * MS


def workspace_weights(workspaces: Iterable[Workspace]) -> dict[str, float]:
    """Return the weight of each workspace: its quota relative to the mean quota.

    Quotas in tokens and in requests are each compared with their own kind. A workspace
    without a quota has the mean weight.
    """
    rates: dict[bool, list[float]] = {True: [], False: []}
    listed = list(workspaces)
    for workspace in listed:
        if workspace.rate > 0:
            rates[workspace.counts_tokens].append(workspace.rate)
    means = {unit: sum(items) / len(items) for unit, items in rates.items() if items}
    return {
        workspace.name: workspace.rate / means[workspace.counts_tokens]
        if workspace.rate > 0
        else 1.0
        for workspace in listed
    }
