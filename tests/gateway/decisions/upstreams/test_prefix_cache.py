from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from banyansail.gateway.decisions.upstreams.prefix_cache import (
    USABLE_SHARE,
    PrefixCache,
)
from banyansail.gateway.request_types import Prompt, PromptPart

CAPACITY = 1000


class NaiveCache:
    """LRU cache as a list of parts, the most recently used one last."""

    def __init__(self):
        self.parts = []

    def uncached_tokens(self, prompt):
        cached = 0
        for part in prompt.parts:
            if part.id not in [cached_part.id for cached_part in self.parts]:
                break
            cached += part.tokens
        return max(0, prompt.tokens - cached)

    def record(self, prompt):
        for part in reversed(prompt.parts):
            self.parts = [item for item in self.parts if item.id != part.id]
            self.parts.append(part)
        while sum(part.tokens for part in self.parts) > int(CAPACITY * USABLE_SHARE):
            self.parts.pop(0)


def prompt_of(names) -> Prompt:
    parts = tuple(PromptPart(name, 40 + 30 * ord(name) % 200) for name in names)
    return Prompt("m", sum(part.tokens for part in parts) + 10, 5, parts)


prompts = st.lists(
    st.sampled_from("abcdefghij"), min_size=1, max_size=4, unique=True
).map(prompt_of)


@settings(derandomize=True, max_examples=300)
@given(st.lists(prompts, max_size=40))
def test_it_has_the_same_content_as_the_naive_cache(sequence):
    cache, naive = PrefixCache(CAPACITY), NaiveCache()
    for prompt in sequence:
        assert cache.uncached_tokens(prompt) == naive.uncached_tokens(prompt)
        cache.record(prompt)
        naive.record(prompt)


def test_a_part_after_an_uncached_one_does_not_count():
    cache = PrefixCache(CAPACITY)
    cache.record(prompt_of("b"))
    both = prompt_of("ab")
    assert cache.uncached_tokens(both) == both.tokens


def test_nothing_is_cached_after_clear():
    cache = PrefixCache(CAPACITY)
    prompt = prompt_of("ab")
    cache.record(prompt)
    cache.clear()
    assert cache.uncached_tokens(prompt) == prompt.tokens
