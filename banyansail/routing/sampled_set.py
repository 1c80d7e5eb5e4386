"""Set with constant-time updates and random sampling."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random


class SampledSet:
    """Strings that are added, removed and sampled at random in constant time."""

    __slots__ = ("_index_by_item", "_items")

    def __init__(self) -> None:
        self._items: list[str] = []
        self._index_by_item: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: str) -> bool:
        return item in self._index_by_item

    def __iter__(self) -> Iterator[str]:
        return iter(self._items)

    def add(self, item: str) -> None:
        """Add an item if it is not present."""
        if item not in self._index_by_item:
            self._index_by_item[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item if it is present."""
        index = self._index_by_item.pop(item, None)
        if index is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[index] = last
            self._index_by_item[last] = index

    def sample(self, random: Random, count: int) -> list[str]:
        """Return `count` items drawn with replacement, or all if there are fewer."""
        size = len(self._items)
        if size <= count:
            return list(self._items)
        return [self._items[int(random.random() * size)] for _ in range(count)]
