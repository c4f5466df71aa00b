"""Test that results of any size and any letters are listed, in groups that the store accepts."""

import json
import random
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.jobs.commits import CommitDeps, commit
from papayapier.jobs.notifications import SentNotifications
from papayapier.jobs.owned_job import OwnedJob
from papayapier.jobs.records import (
    ItemOutcome,
    ItemResult,
    ResultGroup,
    encode,
    groups_prefix,
    pack,
    read_group,
)
from papayapier.jobs.result_sizes import (
    MAX_GROUP_BYTES,
    choose_group,
    fits_alone,
    smallest_form,
)
from tests.jobs_world import BOUND, JOB, MemoryStore, record
from tests.site.store import VALUE_BYTES

LETTERS = {"ascii": "x", "line feeds": "\n", "quotes": '"', "thai": "ค", "flags": "\U0001f6e2"}
# Letters that a compressed text needs about as many bits for as for themselves.
DRAWN_LETTERS = string.ascii_letters + string.digits
NAMES = [f"item-{number}" for number in range(40)]


def object_size(value: bytes, ascii_only: bool = False) -> int:
    """Return the size of an object with a value, as a store measures it."""
    document = {"metadata": {"name": "00000", "revision": 10**15}, "spec": value.decode()}
    return len(json.dumps(document, ensure_ascii=ascii_only).encode())


def drawn_text(letters: int) -> str:
    """Return a text that hardly compresses."""
    return "".join(random.Random(7).choices(DRAWN_LETTERS, k=letters))


class Writer:
    """Write results of a job to a store that bounds its objects."""

    def __init__(self, texts: dict[str, str]) -> None:
        self.time = fake_clock()
        self.memory = MemoryStore()
        self.job = OwnedJob(JOB, record(*texts))
        deps = CommitDeps(
            self.time.clock,
            random.Random(1),
            self.memory.store(),
            BOUND,
            lambda _items: None,
            lambda _job, _written: None,
            SentNotifications(),
        )
        for name, text in texts.items():
            self.job.items[name].texts = [text]
            self.job.finish(name, ItemOutcome.DONE)
        Deferred.fromCoroutine(commit(deps, self.job))

    def listed(self) -> dict[str, ItemResult]:
        """Return the listed results by item, after some time."""
        for _ in range(60):
            self.time.jump(300)
        keys = sorted(key for key in self.memory.objects if key.startswith(groups_prefix(JOB)))
        groups = [read_group(self.memory.objects[key][1]).unwrap() for key in keys]
        results = [result for group in groups for result in group.results]
        assert len({result.id for result in results}) == len(results)
        return {result.id: result for result in results}


@pytest.mark.parametrize("letter", LETTERS.values(), ids=LETTERS.keys())
@pytest.mark.parametrize("length", [1, 20_000, 250_000])
def test_results_of_any_letters_are_listed(letter: str, length: int) -> None:
    """Guard against results that are never listed as their group is larger than an object."""
    texts = dict.fromkeys(NAMES, letter * length)
    listed = Writer(texts).listed()
    assert {name: (each.end, each.text) for name, each in listed.items()} == {
        name: (ItemOutcome.DONE, text) for name, text in texts.items()
    }


def test_a_result_larger_than_an_object_does_not_stop_the_others() -> None:
    """Guard against one result that fits nowhere and keeps all later ones from being listed."""
    texts = {"huge": drawn_text(2 * VALUE_BYTES), "a": "x", "b": "y"}
    listed = Writer(texts).listed()
    assert (listed["huge"].end, listed["huge"].text) == (ItemOutcome.GIVEN_UP, "")
    assert {name: listed[name].end for name in "ab"} == dict.fromkeys("ab", ItemOutcome.DONE)


def test_a_store_that_measures_larger_objects_gets_smaller_groups() -> None:
    """Guard against a refused group that is written again as it was."""
    texts = dict.fromkeys(NAMES, "ค" * 12000)
    writer = Writer(texts)
    writer.memory.size_of = lambda value: object_size(value, ascii_only=True)
    listed = writer.listed()
    assert {name: each.text for name, each in listed.items()} == texts
    assert writer.memory.too_large_count > 0


def test_a_result_that_the_store_refuses_alone_waits_behind_the_others() -> None:
    """Guard against a refused result that stops the others, or is given up at the store's word."""
    writer = Writer({"refused": "z" * 1_000, "a": "x", "b": "y"})
    writer.memory.size_of = lambda value: VALUE_BYTES + 1 if b"refused" in value else len(value)
    assert sorted(writer.listed()) == ["a", "b"]
    writer.memory.size_of = object_size
    assert writer.listed()["refused"].end is ItemOutcome.DONE


@settings(max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.text(st.characters(codec="utf-8"), max_size=8), st.integers(0, 60_000)),
        min_size=1,
        max_size=12,
    ),
    st.integers(30_000, VALUE_BYTES),
)
def test_a_chosen_group_fits_into_an_object(drawn: list[tuple[str, int]], limit: int) -> None:
    """Guard against letters whose size in the store is not known."""
    results = [
        ItemResult(f"item-{number}", ItemOutcome.DONE, text * (length // max(1, len(text))))
        for number, (text, length) in enumerate(drawn)
    ]
    forms = [smallest_form(each, BOUND) for each in results]
    chosen = choose_group([form for form in forms if fits_alone(form, BOUND)], limit)
    value = encode(ResultGroup("w" * 16, tuple(form.stored for form in chosen)))
    if len(chosen) > 1:
        assert BOUND.size_of(value) <= limit
    assert object_size(value) <= VALUE_BYTES
    by_id = {result.id: result for result in results}
    assert all(each == by_id[each.id] for each in read_group(value).unwrap().results)


def test_a_packed_text_is_read_back() -> None:
    """Guard against a compressed text that is listed as it is stored."""
    result = ItemResult("a", ItemOutcome.DONE, '"\n\\' * (MAX_GROUP_BYTES // 3))
    form = smallest_form(result, BOUND)
    assert form.stored == pack(result)
    assert read_group(encode(ResultGroup("w", (form.stored,)))) == Ok(ResultGroup("w", (result,)))
