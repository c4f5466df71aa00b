"""Measure the time, store calls, bytes and memory that batch jobs of growing size need.

Each size runs in a separate process (python -m misc.measure_batch --items N), because the peak
memory of a process never falls. Without --items, all sizes run one after the other and a table
is printed. The platform is a dictionary and items are answered immediately, so that the times
are the processor time of the batch code itself. Lease and watch calls, whose number depends on
time and not on items, are counted separately. One instance runs the whole job, which is split
as it would be among --instances instances.
"""

import argparse
import json
import random
import resource
import subprocess
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet import reactor, task
from twisted.internet.defer import Deferred

from papayapier.batch.api import BatchDeps, BatchDispatch, ItemCall
from papayapier.batch.jobs import JobRequest
from papayapier.batch.start import Batch, start_batch
from papayapier.clock import Clock, real_clock
from papayapier.config.profiles import Profile
from papayapier.errors import Refusal
from papayapier.metrics import make_metrics
from papayapier.settings import BatchSettings
from papayapier.store.api import (
    Change,
    Changes,
    Entry,
    Listing,
    Members,
    Store,
    Stored,
    StoreError,
)
from papayapier.upstream.api import Reply

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES: Final = (1_000, 10_000, 100_000, 750_000)
CALLER: Final = "measure"
URL: Final = "/v1/chat/completions"
PROMPT: Final = "the truck at the north gate carries pruned branches and leaves " * 3
ANSWER_TEXT: Final = "accepted for the green heap " * 4
CHUNK_LINES: Final = 200
FREE_SLOTS: Final = 256
POLL_MS: Final = 20
TIMED_PREFIXES: Final = ("sessions/", "leases/")
WRITE_CALLS: Final = ("create", "update", "delete")


class JobFigures(NamedTuple):
    """Hold the figures of one job; writes to bytes_read are per 1,000 items."""

    items: int
    upload_items_per_s: float
    run_items_per_s: float
    output_items_per_s: float
    writes: float
    deletes: float
    reads: float
    lists: float
    bytes_written: float
    bytes_read: float
    by_time: int
    base_mb: float
    peak_mb: float


class InMemoryPlatform:
    """Store objects in a dictionary and count calls and bytes."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._objects: dict[str, Stored] = {}
        self._revision = 0
        self.calls: Counter[str] = Counter()
        self.timed_calls = 0
        self.written_bytes = 0
        self.read_bytes = 0

    def store(self) -> Store:
        """Return a Store that is backed by this platform."""

        async def members(_wait_ms: int, _since: int) -> Result[Members, StoreError]:
            return Ok(Members([], 0))

        async def no_op(*_: Any) -> Result[None, StoreError]:
            return Ok(None)

        return Store(
            self._get,
            self._create,
            self._update,
            self._delete,
            self._list,
            self._watch,
            members,
            no_op,
            no_op,
        )

    def _count_call(self, call: str, key: str) -> None:
        if key.startswith(TIMED_PREFIXES):
            self.timed_calls += 1
        else:
            self.calls[call] += 1

    async def _get(self, key: str) -> Result[Stored, StoreError]:
        self._count_call("get", key)
        stored = self._objects.get(key)
        if stored is None:
            return Err(StoreError.NOT_FOUND)
        self.read_bytes += len(stored.value)
        return Ok(stored)

    async def _create(self, key: str, value: bytes) -> Result[int, StoreError]:
        return self._put("create", key, value, 0)

    async def _update(self, key: str, value: bytes, version: int) -> Result[int, StoreError]:
        return self._put("update", key, value, version)

    def _put(self, call: str, key: str, value: bytes, version: int) -> Result[int, StoreError]:
        self._count_call(call, key)
        stored = self._objects.get(key)
        if (stored.version if stored else 0) != version:
            return Err(StoreError.CONFLICT)
        self._revision += 1
        self.written_bytes += len(value)
        self._objects[key] = Stored(key, self._revision, value)
        return Ok(self._revision)

    async def _delete(self, key: str, version: int) -> Result[int, StoreError]:
        self._count_call("delete", key)
        stored = self._objects.get(key)
        if stored is None or stored.version != version:
            return Err(StoreError.CONFLICT)
        del self._objects[key]
        self._revision += 1
        return Ok(self._revision)

    async def _list(self, prefix: str, after: str, limit: int) -> Result[Listing, StoreError]:
        self._count_call("list", prefix)
        keys = sorted(key for key in self._objects if key.startswith(prefix) and key > after)
        page = [Entry(key, self._objects[key].version) for key in keys[:limit]]
        return Ok(Listing(page, len(keys) > limit, self._revision))

    async def _watch(self, _prefix: str, since: int, wait_ms: int) -> Result[Changes, StoreError]:
        self.timed_calls += 1
        await self._clock.sleep(wait_ms)
        changes: list[Change] = []
        return Ok(Changes(changes, since))


def instant_dispatch() -> BatchDispatch:
    """Return a dispatch that answers every item immediately."""
    body = json.dumps(
        {
            "id": "x" * 32,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": {"role": "assistant", "content": ANSWER_TEXT}}],
            "usage": {"prompt_tokens": 40, "completion_tokens": 20},
        }
    ).encode()
    reply = Reply(200, "application/json", body, "", 20, "stop", None, 1, 1)

    async def run(call: ItemCall) -> Result[Reply, Refusal]:
        assert call.still_allowed()
        return Ok(reply)

    return BatchDispatch(lambda _: FREE_SLOTS, run, lambda _: None)


async def measure(items: int, instances: int) -> JobFigures:
    """Run one job with the given number of items and return its figures."""
    clock = real_clock()
    platform = InMemoryPlatform(clock)
    batch = start_batch(_deps(clock, platform.store(), instances))
    await clock.sleep(200)
    base_mb = _peak_mb()
    started = time.perf_counter()
    file_id = await _upload(batch, clock, items)
    uploaded = time.perf_counter()
    request = JobRequest(CALLER, "", file_id, URL, "24h", {}, "notes", 0)
    job_id = (await batch.jobs.accept(request)).unwrap().record.job_id
    while job_id in batch.registry.jobs:
        await clock.sleep(POLL_MS)
    finished = time.perf_counter()
    calls = Counter(platform.calls)
    written, read, by_time = platform.written_bytes, platform.read_bytes, platform.timed_calls
    count = await _count_output(batch, job_id)
    assert count == items, f"{count} results for {items} items"
    output_read = time.perf_counter()
    # The dictionary replaces the platform, so its content does not count as instance memory.
    stored_mb = sum(len(stored.value) for stored in platform._objects.values()) / 1e6
    await batch.stop()
    per_thousand = 1_000 / items
    return JobFigures(
        items=items,
        upload_items_per_s=round(items / (uploaded - started)),
        run_items_per_s=round(items / (finished - uploaded)),
        output_items_per_s=round(items / (output_read - finished)),
        writes=round((calls["create"] + calls["update"]) * per_thousand, 3),
        deletes=round(calls["delete"] * per_thousand, 3),
        reads=round(calls["get"] * per_thousand, 3),
        lists=round(calls["list"] * per_thousand, 3),
        bytes_written=round(written * per_thousand),
        bytes_read=round(read * per_thousand),
        by_time=by_time,
        base_mb=round(base_mb, 1),
        peak_mb=round(_peak_mb() - stored_mb, 1),
    )


def _deps(clock: Clock, store: Store, instances: int) -> BatchDeps:
    return BatchDeps(
        clock=clock,
        rand=random.Random(1),
        store=store,
        dispatch=instant_dispatch(),
        cfg=BatchSettings(),
        instance="measure",
        boot=1,
        find_profile={"notes": Profile("notes", "lm", "batch", 86_400_000, True)}.get,
        live_instances=lambda: ["measure"] * instances,
        broadcast=lambda _: None,
        metrics=make_metrics(),
    )


async def _upload(batch: Batch, clock: Clock, items: int) -> str:
    file_upload = batch.start_upload(CALLER, "measure.jsonl", "batch")
    for start in range(0, items, CHUNK_LINES):
        lines = [_make_line(n) for n in range(start, min(items, start + CHUNK_LINES))]
        refusal = await file_upload.feed(b"".join(lines))
        assert refusal is None, refusal
        await clock.sleep(0)
    return (await file_upload.finish()).unwrap().file_id


def _make_line(number: int) -> bytes:
    body = f'{{"messages":[{{"role":"user","content":"{PROMPT}"}}],"max_tokens":32}}'
    return (
        f'{{"custom_id":"note-{number}","method":"POST","url":"{URL}","body":{body}}}\n'
    ).encode()


async def _count_output(batch: Batch, job_id: str) -> int:
    output = (await batch.reader.find_output(CALLER, f"file-out-{job_id}")).unwrap()
    failed: list[Any] = []
    count = 0
    async for chunk in batch.reader.output_lines(output, failed.append):
        count += chunk.count(b"\n")
    assert not failed, failed
    return count


def _peak_mb() -> float:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1_000


def run_one(items: int, instances: int) -> None:
    """Measure one size in this process and print it as JSON."""
    results: list[JobFigures] = []

    def main(_reactor: Any) -> Deferred[None]:
        async def run_measure() -> None:
            results.append(await measure(items, instances))

        return Deferred.fromCoroutine(run_measure())

    run_reactor: Callable[..., Any] = task.react
    try:
        run_reactor(main, [], reactor)
    except SystemExit as exc:
        if exc.code:
            raise
    print(json.dumps(results[0]._asdict()))


def run_all(as_json: bool, sizes: tuple[int, ...], instances: int) -> None:
    """Measure every size, each in a separate process, and print the results."""
    rows = []
    for items in sizes:
        command = [sys.executable, "-m", "misc.measure_batch", "--items", str(items)]
        command += ["--instances", str(instances)]
        completed = subprocess.run(command, check=True, capture_output=True, text=True)
        rows.append(json.loads(completed.stdout.splitlines()[-1]))
    if as_json:
        print(json.dumps(rows, indent=2))
        return
    for name in JobFigures._fields:
        print(f"{name:<20}" + "".join(f"{row[name]:>14,}" for row in rows))


def main() -> None:
    """Parse the command line and measure one size or all sizes."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--items", type=int, help="measure one size in this process")
    parser.add_argument("--most", type=int, default=SIZES[-1], help="skip larger sizes")
    parser.add_argument("--json", action="store_true", help="print JSON instead of a table")
    parser.add_argument("--instances", type=int, default=6, help="instances that share a job")
    options = parser.parse_args()
    if options.items:
        run_one(options.items, options.instances)
    else:
        sizes = tuple(size for size in SIZES if size <= options.most)
        run_all(options.json, sizes, options.instances)


if __name__ == "__main__":
    main()
