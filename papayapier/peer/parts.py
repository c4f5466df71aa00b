"""Split lists that are too long for one frame into parts of bounded size."""

from collections.abc import Callable, Iterable
from typing import Final, TypeVar

T = TypeVar("T")

MAX_PART_BYTES: Final = 200_000


def split_parts(items: Iterable[T], size_of: Callable[[T], int]) -> list[list[T]]:
    """Split items into parts of bounded size; an empty input gives one empty part."""
    parts: list[list[T]] = [[]]
    filled = 0
    for item in items:
        size = size_of(item)
        if filled + size > MAX_PART_BYTES and parts[-1]:
            parts.append([])
            filled = 0
        parts[-1].append(item)
        filled += size
    return parts
