"""Choose the results that are written as the next group, by the bytes that they take in the store.

A text takes more bytes in the store than it has letters: letters take up to four bytes, and quotes,
backslashes and line feeds are escaped each time that a text becomes part of another one. A result
of which little would fit beside others is stored compressed, if that is smaller.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple

from papayapier.jobs.records import ItemResult, encode_result, pack
from papayapier.store.api import ValueBound

# Keeps writes and reads short; the store's own bound may be lower.
MAX_GROUP_BYTES: Final = 600_000
# The write id, brackets, and a comma after each result.
GROUP_BYTES: Final = 100
SEPARATOR_BYTES: Final = 1


class SizedResult(NamedTuple):
    """Hold a result as it is stored, and its size in the store."""

    stored: ItemResult
    size: int


def smallest_form(result: ItemResult, bound: ValueBound) -> SizedResult:
    """Return the form in which a result is stored."""
    plain = _sized(result, bound)
    if plain.size <= min(MAX_GROUP_BYTES, bound.max_bytes):
        return plain
    return min(plain, _sized(pack(result), bound), key=lambda form: form.size)


def fits_alone(form: SizedResult, bound: ValueBound) -> bool:
    """Return whether a result fits into an object of its own."""
    return GROUP_BYTES + form.size <= bound.max_bytes


def choose_group(forms: Iterable[SizedResult], limit: int) -> list[SizedResult]:
    """Return the first results that fit into a group of some bytes; at least one."""
    chosen: list[SizedResult] = []
    size = GROUP_BYTES
    for form in forms:
        size += form.size
        if chosen and size > limit:
            break
        chosen.append(form)
    return chosen


def group_size(forms: Iterable[SizedResult]) -> int:
    """Return the size of a group in the store."""
    return GROUP_BYTES + sum(form.size for form in forms)


def _sized(result: ItemResult, bound: ValueBound) -> SizedResult:
    return SizedResult(result, bound.size_of(encode_result(result)) + SEPARATOR_BYTES)
