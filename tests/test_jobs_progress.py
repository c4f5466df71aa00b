"""Test that items go on from what a keeper's disk holds, and from nothing where it holds none."""

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import fake_clock
from papayapier.jobs import progress
from papayapier.jobs.progress import ItemProgress, SaverDeps, Snapshot
from papayapier.jobs.records import ItemEnd
from papayapier.jobs.work import OwnedJob
from papayapier.policy.crashes import Loss
from papayapier.upstream.event_cutter import NO_EVENT
from tests.jobs_world import JOB, Begun, record
from tests.log_catcher import LogCatcher

BEGUN = ItemProgress(JOB, "a", 2, ("one", "two"), 900, 1)
DONE = ItemProgress(JOB, "b", NO_EVENT, ("one\ntwo\nthree",), 0, 0, ItemEnd.DONE)


def folder_of(tmp_path: Path, *numbers: int) -> str:
    """Write snapshots, each with an item named by its number."""
    for number in numbers:
        item = BEGUN._replace(item_id=str(number))
        progress._write_call(str(tmp_path), Snapshot(number, (item,)))()
    return str(tmp_path)


def test_the_latest_snapshot_counts(tmp_path: Path) -> None:
    assert progress.load(folder_of(tmp_path, 1, 2, 3)).number == 3


def test_nothing_is_known_without_a_disk(tmp_path: Path) -> None:
    assert progress.load(str(tmp_path / "none")) == progress.EMPTY_SNAPSHOT


@pytest.mark.parametrize("left", [0, 7, 30])
def test_a_torn_snapshot_leaves_the_one_before(tmp_path: Path, left: int) -> None:
    # Symptom: after a loss of power a text is no item's whole output.
    # Events: power goes while a snapshot is written; a part of it reached the disk.
    folder = folder_of(tmp_path, 1, 2)
    path = tmp_path / progress.FILES[0]
    path.write_bytes(path.read_bytes()[:left])
    assert progress.load(folder).number == 1
    other = tmp_path / progress.FILES[1]
    other.write_bytes(b"x" + other.read_bytes()[1:])
    assert progress.load(folder) == progress.EMPTY_SNAPSHOT


def test_an_item_goes_on_from_its_last_event() -> None:
    # Symptom: after a kill of all, each item that ran begins again, and all are late together.
    # Cause: what had come of it was in memory only.
    work = OwnedJob(JOB, record("a", "b", "c"))
    for saved in (BEGUN, DONE):
        work.restore(saved)
    one = work.items["a"]
    assert (one.last_event, one.text(), one.failures) == (2, "one\ntwo", 1)
    assert work.unwritten["b"].text == "one\ntwo\nthree"
    assert sorted(work.items) == ["a", "c"]
    assert sorted(work.progress()) == [BEGUN, DONE]


def test_what_another_has_listed_is_not_recalled() -> None:
    work = OwnedJob(JOB, record("b"))
    work.restore(BEGUN)
    assert (sorted(work.items), work.unwritten) == (["b"], {})


class Disk:
    """Run the calls of a saver on a clock of the test's."""

    def __init__(self, folder: str) -> None:
        self.time = fake_clock()
        self.items: list[ItemProgress] = []
        self.losses: list[Loss] = []
        self.hangs = False
        self.writes = 0
        self.deps = SaverDeps(
            self.time.clock, folder, self._run, lambda: list(self.items), lambda: list(self.losses)
        )

    async def _run(self, call: Callable[[], Any]) -> Any:
        if self.hangs:
            await Deferred()
        self.writes += 1
        return call()


def test_progress_is_saved_while_there_is_some(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path))
    Deferred.fromCoroutine(progress.save_regularly(disk.deps, 4))
    disk.time.advance(3 * progress.SAVE_MS)
    idle = disk.writes
    disk.items = [BEGUN]
    disk.time.advance(progress.SAVE_MS)
    assert progress.load(str(tmp_path)).items == (BEGUN,)
    assert idle <= 1
    disk.items = []
    disk.time.advance(5 * progress.SAVE_MS)
    assert progress.load(str(tmp_path)).items == ()
    assert disk.writes <= idle + 2


def test_a_snapshot_is_bounded_and_holds_results_first(tmp_path: Path) -> None:
    # Symptom: in an outage of hours each second's snapshot is larger than the one before.
    disk = Disk(str(tmp_path))
    half = "x" * (progress.MAX_CHARS // 2)
    disk.items = [BEGUN._replace(texts=(half,)), DONE._replace(texts=(half,)), DONE]
    Deferred.fromCoroutine(progress.save_regularly(disk.deps, 0))
    disk.time.advance(progress.SAVE_MS)
    saved = progress.load(str(tmp_path)).items
    assert [one.end for one in saved] == [ItemEnd.DONE, ItemEnd.DONE]


def test_a_full_disk_is_told_once(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path / "none"))
    disk.items = [BEGUN]
    logs = LogCatcher()
    with logs.applicationbound():
        Deferred.fromCoroutine(progress.save_regularly(disk.deps, 0))
        disk.time.elapse(10 * progress.SAVE_MS)
    assert len(logs.fields(events.PROGRESS_NOT_SAVED)) == 1


def test_a_start_does_not_wait_for_a_disk_that_hangs(tmp_path: Path) -> None:
    disk = Disk(folder_of(tmp_path, 1))
    disk.hangs = True
    begun = Begun(progress.load_soon(disk.deps))
    disk.time.advance(progress.LOAD_MS + 1)
    assert begun.end() == progress.EMPTY_SNAPSHOT


def test_random_bytes_are_no_snapshot(tmp_path: Path) -> None:
    rand = random.Random(1)
    for _ in range(50):
        for name in progress.FILES:
            (tmp_path / name).write_bytes(rand.randbytes(rand.randrange(80)))
        assert progress.load(str(tmp_path)) == progress.EMPTY_SNAPSHOT


def test_what_has_ended_replicas_is_on_the_disk(tmp_path: Path) -> None:
    # Symptom: after a loss of all power a work that had ended three replicas ends three more.
    # Cause: what was known of it was in memory only.
    disk = Disk(str(tmp_path))
    Deferred.fromCoroutine(progress.save_regularly(disk.deps, 4))
    disk.losses = [Loss("w", "r", 0)]
    disk.time.advance(progress.SAVE_MS)
    assert progress.load(str(tmp_path)).losses == (Loss("w", "r", 0),)
    written = disk.writes
    # Only their age changes: nothing is written for that.
    disk.losses = [Loss("w", "r", 5_000)]
    disk.time.advance(3 * progress.SAVE_MS)
    assert disk.writes == written


def test_a_snapshot_of_an_older_program_is_read() -> None:
    old = msgspec.msgpack.encode((7, ()))
    assert msgspec.msgpack.decode(old, type=Snapshot) == Snapshot(7, (), ())
