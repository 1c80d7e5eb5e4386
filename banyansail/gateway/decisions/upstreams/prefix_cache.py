"""Estimated content of an engine's prefix cache, from the prompts sent to it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.request_types import Prompt

USABLE_SHARE = 0.85  # of an engine's memory; the rest is used by running requests


class PrefixCache:
    """LRU model of the prompt parts in one engine's memory.

    Parameters
    ----------
    capacity : int
        The engine's memory in tokens.
    """

    __slots__ = ("_cached_tokens", "_capacity", "_tokens_by_part")

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * USABLE_SHARE)
        self._cached_tokens = 0
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the number of the prompt's tokens that the engine has to prefill."""
        cached = 0
        for part in prompt.parts:
            if part.id not in self._tokens_by_part:
                break
            cached += part.tokens
        return max(0, prompt.tokens - cached)

    def record(self, prompt: Prompt) -> None:
        """Add the parts of a prompt that the engine prefills."""
        for part in reversed(prompt.parts):
            previous = self._tokens_by_part.pop(part.id, 0)
            self._tokens_by_part[part.id] = part.tokens
            self._cached_tokens += part.tokens - previous
        while self._cached_tokens > self._capacity and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._cached_tokens -= tokens

    def clear(self) -> None:
        """Remove all parts."""
        self._tokens_by_part.clear()
        self._cached_tokens = 0
