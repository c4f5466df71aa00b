"""Test who counts as alive where some instances cannot hear each other."""

import pytest

from papayapier.policy.witnesses import Witnesses

ENTRIES = ["e1", "e2", "e3"]


def told(*unheard: tuple[str, ...]) -> Witnesses:
    witnesses = Witnesses()
    for entry, names in zip(ENTRIES, unheard, strict=True):
        witnesses.on_told(entry, names)
    return witnesses


@pytest.mark.parametrize(
    ("unheard", "heard"),
    [
        (((), (), ()), True),
        ((("k2",), (), ()), True),
        ((("k2",), ("k2",), ()), False),
        ((("k2",), ("k2",), ("k2",)), False),
        ((("k3",), ("k3",), ("k3",)), True),
    ],
)
def test_a_keeper_that_entries_hear_is_alive(
    unheard: tuple[tuple[str, ...], ...], heard: bool
) -> None:
    # Symptom: two keepers run the same jobs and fill all slots, and online streams wait.
    # Events: the two are cut from each other, and both reach the entries.
    # Cause: silence towards one instance was taken for death.
    assert told(*unheard).heard("k2", ENTRIES) is heard


def test_only_live_witnesses_count() -> None:
    assert told(("k2",), ("k2",), ()).heard("k2", ["e3"])


def test_without_witnesses_silence_is_death() -> None:
    assert not Witnesses().heard("k2", ENTRIES)
    assert not told((), (), ()).heard("k2", [])
