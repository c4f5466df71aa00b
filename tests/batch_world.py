"""Run batch work of several instances on an in-memory platform and a scripted fleet.

Each instance runs behind a Gate. While the gate is shut, nothing of the instance runs: its
timers, the answers of the store and of the fleet, and its peers' messages wait, as they do
for a process that is stopped by a signal. An instance that is lost is one whose gate is
never opened again. Its calls that are under way at the store and the fleet take effect.
"""

import json
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any, TypeVar

import logbook
from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events, invariants
from papayapier.batch.api import BatchDeps, BatchDispatch, ItemCall
from papayapier.batch.jobs import JobRequest
from papayapier.batch.lookup import FoundJob
from papayapier.batch.records import FileRecord
from papayapier.batch.start import Batch, start_batch
from papayapier.clock import Clock, fake_clock
from papayapier.config.profiles import Profile
from papayapier.errors import Outcome, Refusal
from papayapier.metrics import make_metrics
from papayapier.peer.messages import Message
from papayapier.settings import BatchSettings
from papayapier.store.api import Store
from papayapier.upstream.api import Reply
from tests.fake_store import FakePlatform

T = TypeVar("T")
Answer = Result[Reply, Refusal]

DEFAULTS = BatchSettings(shards=8)
URL = "/v1/chat/completions"
CALLER = "sulina"
STORE_CALLS = ("get", "create", "update", "delete", "list", "watch")
PROFILES = {
    "notes": Profile("notes", "lm", "batch", 3_600_000, True),
    "bookings": Profile("bookings", "lm", "batch", 3_600_000, False),
}


class BrokenWork(logbook.Handler):  # type: ignore[misc]
    """Collect the failures of background work, which are logged and not raised."""

    def __init__(self) -> None:
        super().__init__(logbook.ERROR, bubble=True)
        self.seen: list[Any] = []

    def emit(self, record: logbook.LogRecord) -> None:
        if record.extra["event"] is events.BATCH_BROKEN:
            self.seen.append(record.extra["fields"])


BROKEN_WORK = BrokenWork()
BROKEN_WORK.push_application()


class Gate:
    """Hold back what would run in an instance that is paused."""

    def __init__(self) -> None:
        self.shut = False
        self._waiting: list[Callable[[], object]] = []

    def run(self, call: Callable[[], object]) -> None:
        """Run a call now, or when the gate opens."""
        if self.shut:
            self._waiting.append(call)
        else:
            call()

    def open(self) -> None:
        """Run what has waited, in its order."""
        self.shut = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.run(call)

    async def behind(self, work: Awaitable[T]) -> T:
        """Await something outside, and come back through the gate."""
        done = await work
        if self.shut:
            opened: Deferred[None] = Deferred()
            self._waiting.append(lambda: opened.callback(None))
            await opened
        return done


class GatedTimers:
    """Keep an instance's timers from firing while it is paused."""

    def __init__(self, clock: Clock, gate: Gate) -> None:
        self._clock = clock
        self._gate = gate

    def seconds(self) -> float:
        return self._clock.timers.seconds()

    def callLater(self, delay: float, callable: Callable[..., Any]) -> Any:  # noqa: N802
        timer: list[Any] = []

        def fire() -> None:
            self._gate.run(lambda: None if timer[0].cancelled else callable())

        timer.append(_Timer(self._clock.timers.callLater(delay, fire)))
        return timer[0]


class _Timer:
    """Let a timer be cancelled also when it is due and waits at the gate."""

    def __init__(self, timer: Any) -> None:
        self.cancelled = False
        self._timer = timer

    def active(self) -> bool:
        return not self.cancelled and bool(self._timer.active())

    def cancel(self) -> None:
        self.cancelled = True
        if self._timer.active():
            self._timer.cancel()


def gated_store(store: Store, gate: Gate) -> Store:
    """Make the answers of a store wait at the gate."""

    def wrap(call: Any) -> Any:
        return lambda *args: gate.behind(call(*args))

    return store._replace(**{name: wrap(getattr(store, name)) for name in STORE_CALLS})


class FakeFleet:
    """Answer items, and count how often each call ran and was cancelled.

    With hold set, items run until a test answers them. on_run sees every send.
    """

    def __init__(self, slots: int = 8) -> None:
        self.slots = slots
        self.hold = False
        self.runs: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.held: list[tuple[ItemCall, Deferred[Answer]]] = []
        self.answer: Callable[[ItemCall], Answer] = lambda call: Ok(reply(call.call_id))
        self.on_run: Callable[[str, ItemCall], None] = lambda _instance, _call: None

    def dispatch(self, instance: str, gate: Gate) -> BatchDispatch:
        """Make the dispatch of one instance."""
        running: set[str] = set()

        async def run(call: ItemCall) -> Answer:
            assert call.still_allowed()
            self.runs[call.call_id] += 1
            self.on_run(instance, call)
            if not self.hold:
                return self._end(call)
            running.add(call.call_id)
            try:
                return await gate.behind(self._wait(call))
            finally:
                running.discard(call.call_id)

        return BatchDispatch(lambda _: self.slots - len(running), run, lambda _: None)

    def _wait(self, call: ItemCall) -> Deferred[Answer]:
        def cancel(_: Deferred[Answer]) -> None:
            self.cancelled[call.call_id] += 1
            self.held = [one for one in self.held if one[1] is not waiting]

        waiting: Deferred[Answer] = Deferred(cancel)
        self.held.append((call, waiting))
        return waiting

    def release(self, most: int = 1_000_000) -> None:
        """Answer items that are held."""
        for _ in range(min(most, len(self.held))):
            call, waiting = self.held.pop(0)
            waiting.callback(self._end(call))

    def _end(self, call: ItemCall) -> Answer:
        answer = self.answer(call)
        if isinstance(answer, Err) and answer.err_value.outcome is Outcome.NOT_RUN:
            self.runs[call.call_id] -= 1
        return answer


def reply(text: str, status: int = 200) -> Reply:
    """Make an answer."""
    body = json.dumps({"text": text}).encode()
    return Reply(status, "application/json", body, "", 1, "stop", None, 1, 1)


def now(work: Any) -> Any:
    """Return the result of a coroutine that ends at once."""
    out: list[Any] = []
    Deferred.fromCoroutine(work).addBoth(out.append)
    assert out, "still waiting"
    return out[0]


class World:
    """Hold a platform, a fleet and instances on one fake clock."""

    def __init__(self, cfg: BatchSettings = DEFAULTS, clock: Clock | None = None) -> None:
        invariants.raise_on_failure(True)
        invariants.BROKEN.clear()
        BROKEN_WORK.seen.clear()
        self.fake = fake_clock()
        self.clock = clock or self.fake.clock
        self.platform = FakePlatform(self.clock)
        self.fleet = FakeFleet()
        self.cfg = cfg
        self.rand = random.Random(7)
        self.instances: dict[str, Batch] = {}
        self.gates: dict[str, Gate] = {}
        self.peers_cut = False
        self.profiles = dict(PROFILES)

    def start(self, name: str) -> Batch:
        """Start an instance."""
        gate = self.gates[name] = Gate()
        clock = Clock(GatedTimers(self.clock, gate), self.clock.wall_source)
        deps = BatchDeps(
            clock=clock,
            rand=self.rand,
            store=gated_store(self.platform.store(name), gate),
            dispatch=self.fleet.dispatch(name, gate),
            cfg=self.cfg,
            instance=name,
            boot=self.rand.getrandbits(32),
            profile=self.profiles.get,
            live_instances=lambda: list(self.instances),
            tell_peers=lambda message: self._tell(name, message),
            metrics=make_metrics(),
        )
        self.instances[name] = start_batch(deps)
        return self.instances[name]

    def _tell(self, sender: str, message: Message) -> None:
        for name, batch in self.instances.items():
            if name != sender and not self.peers_cut:
                self.clock.call_later(0, partial(self._hear, name, batch, message))

    def _hear(self, name: str, batch: Batch, message: Message) -> None:
        self.gates[name].run(partial(batch.on_peer, message))

    def lose(self, name: str) -> None:
        """Lose an instance for good."""
        self.gates[name].shut = True
        del self.instances[name]

    def advance(self, ms: int, step: int = 50) -> None:
        """Let time pass."""
        for _ in range(0, ms, step):
            self.fake.advance(step)
        assert invariants.broken_count() == 0, invariants.BROKEN
        assert BROKEN_WORK.seen == []

    def settle(self, work: Any) -> Any:
        """Return the result of a coroutine, letting as much time pass as it needs."""
        out: list[Any] = []
        Deferred.fromCoroutine(work).addBoth(out.append)
        for _ in range(500):
            if out:
                return out[0]
            self.advance(50)
        raise AssertionError("still waiting")

    def upload(self, batch: Batch, count: int) -> FileRecord:
        """Upload a file of so many items."""
        intake = batch.new_file(CALLER, "in.jsonl", "batch")
        for n in range(count):
            line = {"custom_id": f"c{n}", "url": URL, "body": {"n": n}}
            assert now(intake.feed(json.dumps(line).encode() + b"\n")) is None
        done: Result[FileRecord, Refusal] = self.settle(intake.finish())
        return done.unwrap()

    def request(self, file: FileRecord, profile: str = "notes", key: str = "") -> JobRequest:
        """Make the request for a job."""
        return JobRequest(CALLER, key, file.file_id, URL, "24h", {}, profile, 0)

    def submit(
        self, batch: Batch, file: FileRecord, profile: str = "notes", key: str = ""
    ) -> FoundJob:
        """Submit a job."""
        done: Result[FoundJob, Refusal] = now(batch.jobs.accept(self.request(file, profile, key)))
        return done.unwrap()

    def job(self, batch: Batch, found: FoundJob) -> FoundJob:
        """Read a job."""
        done: Result[FoundJob, Refusal] = now(batch.views.job(CALLER, found.record.job_id))
        return done.unwrap()

    def lines(self, batch: Batch, found: FoundJob) -> list[Any]:
        """Read every line of a job's results and errors."""
        lines: list[Any] = []
        for prefix in ("file-out-", "file-err-"):
            output = now(batch.views.output(CALLER, prefix + found.record.job_id)).unwrap()
            errors: list[Any] = []
            text = now(_joined(batch.views.output_lines(output, errors.append)))
            assert not errors
            lines += [json.loads(line) for line in text.splitlines()]
        return lines


async def _joined(pieces: Any) -> bytes:
    return b"".join([piece async for piece in pieces])
