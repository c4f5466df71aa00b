"""Save the progress of a keeper's items on its disk, so that its next start resumes from there.

The replica losses per request fingerprint are saved too; otherwise, after a power failure of the
whole fleet, a request could crash as many replicas again.

Motivation: all processes may be killed or lose power at once, possibly while the store is
unavailable. Progress that was not yet written was held in memory only, and all of those items ran
again from their beginning, at the same time as all other waiting requests.

Losing the disk costs only time, as all confirmed results are in the store. Two files are written
alternately, so that if one is torn by a power failure the previous one remains.
"""

from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier import checksummed_files, events
from papayapier.clock import Clock
from papayapier.decoding import DECODE_ERRORS
from papayapier.jobs.records import ItemOutcome, utf8_size
from papayapier.pending_result import PendingResult
from papayapier.policy.crash_quarantine import ReplicaLoss
from papayapier.policy.part_quarantine import NO_REPORTS, PartReports

FILES: Final = ("progress-0", "progress-1")
# A run takes about five seconds, so a power failure costs a tenth of a run on average. A write of
# 25 items of 10 kB is far below the throughput of a slow disk.
SAVE_MS: Final = 1_000
# Bounds how long a start waits for a disk that hangs.
LOAD_MS: Final = 500
# About 25 runs of 10 kB are in progress, and in a store outage of one minute 300 results wait. In a
# longer outage the rest is omitted: writing it every second would overload the disk and the
# processor.
MAX_BYTES: Final = 4_000_000


class ItemProgress(NamedTuple):
    """Hold the progress of one item; end is set if it has finished and is not yet written.

    version is the software version that began it, None if it has not begun or was saved by a
    release that did not know it.
    """

    job_id: str
    item_id: str
    last_event: int
    texts: tuple[str, ...]
    ran_ms: int
    failures: int
    end: ItemOutcome | None = None
    version: str | None = None


class Snapshot(NamedTuple):
    """Hold the progress of all items of a keeper; a later snapshot has a higher number."""

    number: int
    items: tuple[ItemProgress, ...]
    losses: tuple[ReplicaLoss, ...] = ()
    parts: PartReports = NO_REPORTS


class SaverDeps(NamedTuple):
    """Group the dependencies of saving; in_thread runs a blocking call."""

    clock: Clock
    folder: str
    in_thread: Callable[[Callable[[], Any]], Awaitable[Any]]
    progress: Callable[[], Sequence[ItemProgress]]
    losses: Callable[[], Sequence[ReplicaLoss]]
    parts: Callable[[], PartReports]


_SNAPSHOT: Final = msgspec.msgpack.Decoder(Snapshot)
EMPTY_SNAPSHOT: Final = Snapshot(0, ())


def load(folder: str) -> Snapshot:
    """Return the latest complete snapshot of a folder; this call blocks."""
    read = [_read(Path(folder) / name) for name in FILES]
    complete = [snapshot.ok_value for snapshot in read if isinstance(snapshot, Ok)]
    return max(complete, key=lambda snapshot: snapshot.number, default=EMPTY_SNAPSHOT)


async def load_with_timeout(deps: SaverDeps) -> Snapshot:
    """Return the latest snapshot, or an empty one if the disk does not respond in time."""
    loading = PendingResult(deps.clock, deps.in_thread(lambda: load(deps.folder)))
    snapshot: Snapshot | None = await loading.wait_at_most(LOAD_MS)
    known = snapshot or EMPTY_SNAPSHOT
    events.emit(
        events.PROGRESS_LOADED,
        items=len(known.items),
        number=known.number,
        in_time=snapshot is not None,
    )
    return known


async def save_regularly(deps: SaverDeps, number: int) -> None:
    """Write a snapshot every second in which there are changes; number is that of the last one."""
    is_failing = False
    saved_loss_keys: set[tuple[str, ...]] | None = None
    while True:
        await deps.clock.sleep(SAVE_MS)
        items = _bounded(deps.progress())
        losses, parts = tuple(deps.losses()), deps.parts()
        loss_keys: set[tuple[str, ...]] = {(loss.fingerprint, loss.replica) for loss in losses}
        loss_keys |= {(lost.replica, *lost.parts, *lost.probed) for lost in parts.losses}
        if not items and loss_keys == saved_loss_keys:
            continue
        saved_loss_keys = None if items else loss_keys
        number += 1
        result = await deps.in_thread(
            _write_call(deps.folder, Snapshot(number, items, losses, parts))
        )
        reason = result.err_value if isinstance(result, Err) else ""
        # The reason contains the name of one of the two files, so it changes with every write;
        # only the change between success and failure is logged.
        if bool(reason) != is_failing:
            is_failing = bool(reason)
            events.emit(
                events.PROGRESS_NOT_SAVED,
                items=len(items),
                reason=reason or "saved successfully again",
            )


def _bounded(items: Sequence[ItemProgress]) -> tuple[ItemProgress, ...]:
    """Return the items that fit into a snapshot, finished items first."""
    kept = []
    size = 0
    for progress in sorted(items, key=lambda item: item.end is None):
        item_size = sum(utf8_size(text) for text in progress.texts)
        if size + item_size <= MAX_BYTES:
            kept.append(progress)
            size += item_size
    return tuple(kept)


def _write_call(folder: str, snapshot: Snapshot) -> Callable[[], Result[None, str]]:
    path = Path(folder) / FILES[snapshot.number % len(FILES)]
    return lambda: checksummed_files.write(path, msgspec.msgpack.encode(snapshot))


def _read(path: Path) -> Result[Snapshot, str]:
    body = checksummed_files.read(path)
    if isinstance(body, Err):
        return body
    try:
        return Ok(_SNAPSHOT.decode(body.ok_value))
    except DECODE_ERRORS as exc:
        return Err(str(exc))
