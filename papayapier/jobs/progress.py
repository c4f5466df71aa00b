"""Keep on a keeper's disk what its next start goes on from: how far its items have come.

Also which work has ended replicas, or a loss of all power would let it end as many again.

The load this answers: all processes are killed or lose power at once, at times while the store is
away. What had been run and not yet written was in memory only, and all of it ran again from its
beginning, in the same seconds in which everything else that had waited came too.

Losing the disk costs time and nothing else: what is agreed is in the store. Two files are written
in turn, so that one torn by the loss leaves the one before.
"""

from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Final, NamedTuple

import msgspec
from result import Err, Ok, Result

from papayapier import events, sealed_files
from papayapier.clock import Clock
from papayapier.jobs.records import ItemEnd
from papayapier.pending import Pending
from papayapier.policy.crashes import Loss

FILES: Final = ("progress-0", "progress-1")
# A run lasts some five seconds, so that a loss costs a tenth of one on the mean; 25 items of 10 kB
# a write are far below what a slow disk takes.
SAVE_MS: Final = 1_000
# A start does not wait longer for a disk that hangs.
LOAD_MS: Final = 500
# Some 25 runs of 10 kB are under way, and in an outage of a minute 300 results wait. In a longer
# one the rest is left out: writing all of it each second would take the disk and the processor.
MOST_CHARS: Final = 4_000_000


class ItemProgress(NamedTuple):
    """Hold how far one item has come; end is that of one whose result is not written yet."""

    job_id: str
    item_id: str
    last_event: int
    texts: tuple[str, ...]
    ran_ms: int
    failures: int
    end: ItemEnd | None = None


class Snapshot(NamedTuple):
    """Hold the progress of all items of a keeper; the one with the higher number is later."""

    number: int
    items: tuple[ItemProgress, ...]
    losses: tuple[Loss, ...] = ()


class SaverDeps(NamedTuple):
    """Group what saving works with; in_thread runs a call that blocks."""

    clock: Clock
    folder: str
    in_thread: Callable[[Callable[[], Any]], Awaitable[Any]]
    progress: Callable[[], Sequence[ItemProgress]]
    losses: Callable[[], Sequence[Loss]]


_SNAPSHOT: Final = msgspec.msgpack.Decoder(Snapshot)
NOTHING: Final = Snapshot(0, ())


def load(folder: str) -> Snapshot:
    """Return the latest whole snapshot of a folder; blocks."""
    read = [_read(Path(folder) / name) for name in FILES]
    whole = [one.ok_value for one in read if isinstance(one, Ok)]
    return max(whole, key=lambda one: one.number, default=NOTHING)


async def load_soon(deps: SaverDeps) -> Snapshot:
    """Return the latest snapshot, or an empty one where the disk does not answer in time."""
    loading = Pending(deps.clock, deps.in_thread(lambda: load(deps.folder)))
    snapshot: Snapshot | None = await loading.within(LOAD_MS)
    known = snapshot or NOTHING
    events.emit(
        events.PROGRESS_LOADED,
        items=len(known.items),
        number=known.number,
        in_time=snapshot is not None,
    )
    return known


async def save_regularly(deps: SaverDeps, number: int) -> None:
    """Write a snapshot every second in which there is something to write; number is the last."""
    failing = False
    written: set[tuple[str, str]] | None = None
    while True:
        await deps.clock.sleep(SAVE_MS)
        items = _bounded(deps.progress())
        losses = tuple(deps.losses())
        lost = {(loss.work, loss.replica) for loss in losses}
        if not items and lost == written:
            continue
        written = None if items else lost
        number += 1
        done = await deps.in_thread(_writing(deps.folder, Snapshot(number, items, losses)))
        reason = done.err_value if isinstance(done, Err) else ""
        # The reason names one of two files in turn, so it differs each time.
        if bool(reason) != failing:
            failing = bool(reason)
            events.emit(events.PROGRESS_NOT_SAVED, items=len(items), reason=reason or "well again")


def _bounded(items: Sequence[ItemProgress]) -> tuple[ItemProgress, ...]:
    """Return as many items as a snapshot may hold, those that are done first."""
    taken = []
    chars = 0
    for one in sorted(items, key=lambda item: item.end is None):
        chars += sum(len(text) for text in one.texts)
        if chars > MOST_CHARS:
            break
        taken.append(one)
    return tuple(taken)


def _writing(folder: str, snapshot: Snapshot) -> Callable[[], Result[None, str]]:
    path = Path(folder) / FILES[snapshot.number % len(FILES)]
    return lambda: sealed_files.write(path, msgspec.msgpack.encode(snapshot))


def _read(path: Path) -> Result[Snapshot, str]:
    body = sealed_files.read(path)
    if isinstance(body, Err):
        return body
    try:
        return Ok(_SNAPSHOT.decode(body.ok_value))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))
