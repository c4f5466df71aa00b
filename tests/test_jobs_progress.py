"""Test that items resume from the progress on a keeper's disk, if there is any."""

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
from papayapier.jobs.owned_job import OwnedJob
from papayapier.jobs.progress import ItemProgress, SaverDeps, Snapshot
from papayapier.jobs.records import ItemOutcome
from papayapier.policy.crash_quarantine import ReplicaLoss
from papayapier.policy.part_quarantine import NO_REPORTS
from papayapier.upstream.event_splitter import NO_EVENT
from tests.jobs_world import JOB, StartedCoroutine, record
from tests.log_capture import LogCapture

BEGUN = ItemProgress(JOB, "a", 2, ("one", "two"), 900, 1)
DONE = ItemProgress(JOB, "b", NO_EVENT, ("one\ntwo\nthree",), 0, 0, ItemOutcome.DONE)


def folder_of(tmp_path: Path, *numbers: int) -> str:
    """Write snapshots, each with an item named by its number."""
    for number in numbers:
        item = BEGUN._replace(item_id=str(number))
        progress._write_call(str(tmp_path), Snapshot(number, (item,)))()
    return str(tmp_path)


def test_the_latest_snapshot_is_loaded(tmp_path: Path) -> None:
    assert progress.load(folder_of(tmp_path, 1, 2, 3)).number == 3


def test_without_a_disk_the_snapshot_is_empty(tmp_path: Path) -> None:
    assert progress.load(str(tmp_path / "none")) == progress.EMPTY_SNAPSHOT


@pytest.mark.parametrize("left", [0, 7, 30])
def test_with_a_torn_snapshot_the_previous_one_is_loaded(tmp_path: Path, left: int) -> None:
    # Guards against a result text that is not an item's complete output after a power loss. The
    # power fails while a snapshot is written, and only a part of it reaches the disk.
    folder = folder_of(tmp_path, 1, 2)
    path = tmp_path / progress.FILES[0]
    path.write_bytes(path.read_bytes()[:left])
    assert progress.load(folder).number == 1
    other = tmp_path / progress.FILES[1]
    other.write_bytes(b"x" + other.read_bytes()[1:])
    assert progress.load(folder) == progress.EMPTY_SNAPSHOT


def test_an_item_resumes_from_its_last_event() -> None:
    # Guards against items that all start again, and are all late, after all processes were killed.
    # This happens if their progress is held in memory only.
    job = OwnedJob(JOB, record("a", "b", "c"))
    for saved in (BEGUN, DONE):
        job.restore(saved)
    state = job.items["a"]
    assert (state.last_event, state.text(), state.failures) == (2, "one\ntwo", 1)
    assert job.unwritten["b"].text == "one\ntwo\nthree"
    assert sorted(job.items) == ["a", "c"]
    assert sorted(job.progress()) == [BEGUN, DONE]


def test_an_item_listed_by_another_instance_is_not_restored() -> None:
    job = OwnedJob(JOB, record("b"))
    job.restore(BEGUN)
    assert (sorted(job.items), job.unwritten) == (["b"], {})


class Disk:
    """Run the blocking calls of a saver on a fake clock."""

    def __init__(self, folder: str) -> None:
        self.time = fake_clock()
        self.items: list[ItemProgress] = []
        self.losses: list[ReplicaLoss] = []
        self.hangs = False
        self.writes = 0
        self.deps = SaverDeps(
            self.time.clock,
            folder,
            self._run,
            lambda: list(self.items),
            lambda: list(self.losses),
            lambda: NO_REPORTS,
        )

    async def _run(self, call: Callable[[], Any]) -> Any:
        if self.hangs:
            await Deferred()
        self.writes += 1
        return call()


def test_progress_is_saved_only_while_there_is_some(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path))
    Deferred.fromCoroutine(progress.save_regularly(disk.deps, 4))
    disk.time.jump(3 * progress.SAVE_MS)
    idle = disk.writes
    disk.items = [BEGUN]
    disk.time.jump(progress.SAVE_MS)
    assert progress.load(str(tmp_path)).items == (BEGUN,)
    assert idle <= 1
    disk.items = []
    disk.time.jump(5 * progress.SAVE_MS)
    assert progress.load(str(tmp_path)).items == ()
    assert disk.writes <= idle + 2


def test_a_snapshot_is_bounded_in_bytes() -> None:
    """Guard against a snapshot of several times the bound, where letters take several bytes."""
    items = [BEGUN._replace(item_id=str(n), texts=("ค" * 100_000,)) for n in range(40)]
    kept = progress._bounded(items)
    assert len(msgspec.msgpack.encode(kept)) <= progress.MAX_BYTES
    assert len(kept) == 13


def test_an_item_over_the_bound_does_not_stop_the_others() -> None:
    """Guard against items that are not saved beside one that is too large for a snapshot."""
    huge = DONE._replace(item_id="huge", texts=("x" * (progress.MAX_BYTES + 1),))
    assert progress._bounded([huge, BEGUN, DONE]) == (DONE, BEGUN)


def test_a_snapshot_is_bounded_and_contains_results_first(tmp_path: Path) -> None:
    # Guards against snapshots that grow every second during a store outage of hours.
    disk = Disk(str(tmp_path))
    half = "x" * (progress.MAX_BYTES // 2)
    disk.items = [BEGUN._replace(texts=(half,)), DONE._replace(texts=(half,)), DONE]
    Deferred.fromCoroutine(progress.save_regularly(disk.deps, 0))
    disk.time.jump(progress.SAVE_MS)
    saved = progress.load(str(tmp_path)).items
    assert [item.end for item in saved] == [ItemOutcome.DONE, ItemOutcome.DONE]


def test_a_failing_disk_is_logged_once(tmp_path: Path) -> None:
    disk = Disk(str(tmp_path / "none"))
    disk.items = [BEGUN]
    logs = LogCapture()
    with logs.applicationbound():
        Deferred.fromCoroutine(progress.save_regularly(disk.deps, 0))
        disk.time.run_for(10 * progress.SAVE_MS)
    assert len(logs.fields_of(events.PROGRESS_NOT_SAVED)) == 1


def test_a_start_does_not_wait_for_a_disk_that_hangs(tmp_path: Path) -> None:
    disk = Disk(folder_of(tmp_path, 1))
    disk.hangs = True
    begun = StartedCoroutine(progress.load_with_timeout(disk.deps))
    disk.time.jump(progress.LOAD_MS + 1)
    assert begun.end() == progress.EMPTY_SNAPSHOT


def test_random_bytes_are_not_read_as_a_snapshot(tmp_path: Path) -> None:
    rand = random.Random(1)
    for _ in range(50):
        for name in progress.FILES:
            (tmp_path / name).write_bytes(rand.randbytes(rand.randrange(80)))
        assert progress.load(str(tmp_path)) == progress.EMPTY_SNAPSHOT


def test_replica_losses_are_saved(tmp_path: Path) -> None:
    # Guards against a request that ended three replicas and ends three more after a power loss of
    # all processes. This happens if replica losses are held in memory only.
    disk = Disk(str(tmp_path))
    Deferred.fromCoroutine(progress.save_regularly(disk.deps, 4))
    disk.losses = [ReplicaLoss("w", "r", 0)]
    disk.time.jump(progress.SAVE_MS)
    assert progress.load(str(tmp_path)).losses == (ReplicaLoss("w", "r", 0),)
    written = disk.writes
    # Only the age of the losses changes, which causes no write.
    disk.losses = [ReplicaLoss("w", "r", 5_000)]
    disk.time.jump(3 * progress.SAVE_MS)
    assert disk.writes == written


def test_a_snapshot_of_an_older_version_is_read() -> None:
    old = msgspec.msgpack.encode((7, ()))
    assert msgspec.msgpack.decode(old, type=Snapshot) == Snapshot(7, (), ())
