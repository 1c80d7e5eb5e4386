"""What an engine probably holds of the prompts that were sent to it."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from banyansail.gateway.messages import Prompt

USABLE_SHARE = 0.85  # of an engine's memory; the rest holds running requests


class PrefixCache:
    """Least recently used parts of one engine's memory.

    Parameters
    ----------
    capacity : int
        The engine's memory in tokens.
    """

    __slots__ = ("_capacity", "_held", "_tokens_by_part")

    def __init__(self, capacity: int) -> None:
        self._capacity = int(capacity * USABLE_SHARE)
        self._held = 0
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Return the prompt's tokens that the engine has to read."""
        cached = 0
        for part in prompt.parts:
            if part.id not in self._tokens_by_part:
                break
            cached += part.tokens
        return max(0, prompt.tokens - cached)

    def record(self, prompt: Prompt) -> None:
        """Take note of a prompt that the engine has read."""
        for part in reversed(prompt.parts):
            held = self._tokens_by_part.pop(part.id, 0)
            self._tokens_by_part[part.id] = part.tokens
            self._held += part.tokens - held
        while self._held > self._capacity and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._held -= tokens

    def clear(self) -> None:
        """Forget all parts."""
        self._tokens_by_part.clear()
        self._held = 0
