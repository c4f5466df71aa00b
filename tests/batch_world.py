"""Run batch jobs of several instances on an in-memory platform and a fake upstream.

Each instance runs behind a gate. While the gate is closed, nothing of the instance runs: its
timers, the replies of the store and of the upstream, and its peers' messages wait, as for a
process that is stopped by a signal. The gate of a lost instance is never opened again. Its
calls in flight to the store and the upstream take effect.
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
ReplyResult = Result[Reply, Refusal]

DEFAULTS = BatchSettings(shards=8)
URL = "/v1/chat/completions"
CALLER = "sulina"
STORE_CALLS = ("get", "create", "update", "delete", "list", "watch")
PROFILES = {
    "notes": Profile("notes", "lm", "batch", 3_600_000, True),
    "bookings": Profile("bookings", "lm", "batch", 3_600_000, False),
}


class BackgroundFailures(logbook.Handler):  # type: ignore[misc]
    """Collect the failures of background coroutines, which are logged and not raised."""

    def __init__(self) -> None:
        super().__init__(logbook.ERROR, bubble=True)
        self.failures: list[Any] = []

    def emit(self, record: logbook.LogRecord) -> None:
        if record.extra["event"] is events.BATCH_BROKEN:
            self.failures.append(record.extra["fields"])


BACKGROUND_FAILURES = BackgroundFailures()
BACKGROUND_FAILURES.push_application()


class Gate:
    """Delay everything that would run in a paused instance."""

    def __init__(self) -> None:
        self.is_closed = False
        self._waiting: list[Callable[[], object]] = []

    def run(self, call: Callable[[], object]) -> None:
        """Run a call now, or when the gate opens."""
        if self.is_closed:
            self._waiting.append(call)
        else:
            call()

    def open(self) -> None:
        """Run the waiting calls in order."""
        self.is_closed = False
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self.run(call)

    async def await_open(self, awaitable: Awaitable[T]) -> T:
        """Await an external operation, and return its result when the gate is open."""
        done = await awaitable
        if self.is_closed:
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
    """Wrap a timer that can also be cancelled while it is due and waits at the gate."""

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
    """Delay the replies of a store while the gate is closed."""

    def wrap(call: Any) -> Any:
        return lambda *args: gate.await_open(call(*args))

    return store._replace(**{name: wrap(getattr(store, name)) for name in STORE_CALLS})


class FakeUpstream:
    """Reply to items, and count how often each call ran and was cancelled.

    With hold_replies set, items run until a test releases them. on_run is called for every
    send.
    """

    def __init__(self, slots: int = 8) -> None:
        self.slots = slots
        self.hold_replies = False
        self.run_counts: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.unanswered: list[tuple[ItemCall, Deferred[ReplyResult]]] = []
        self.make_outcome: Callable[[ItemCall], ReplyResult] = lambda call: Ok(reply(call.call_id))
        self.on_run: Callable[[str, ItemCall], None] = lambda _instance, _call: None

    def dispatch(self, instance: str, gate: Gate) -> BatchDispatch:
        """Create the dispatch of one instance."""
        running: set[str] = set()

        async def run(call: ItemCall) -> ReplyResult:
            assert call.still_allowed()
            self.run_counts[call.call_id] += 1
            self.on_run(instance, call)
            if not self.hold_replies:
                return self._make_result(call)
            running.add(call.call_id)
            try:
                return await gate.await_open(self._wait(call))
            finally:
                running.discard(call.call_id)

        return BatchDispatch(lambda _: self.slots - len(running), run, lambda _: None)

    def _wait(self, call: ItemCall) -> Deferred[ReplyResult]:
        def cancel(_: Deferred[ReplyResult]) -> None:
            self.cancelled[call.call_id] += 1
            self.unanswered = [entry for entry in self.unanswered if entry[1] is not waiting]

        waiting: Deferred[ReplyResult] = Deferred(cancel)
        self.unanswered.append((call, waiting))
        return waiting

    def release(self, max_items: int = 1_000_000) -> None:
        """Reply to items that are running."""
        for _ in range(min(max_items, len(self.unanswered))):
            call, waiting = self.unanswered.pop(0)
            waiting.callback(self._make_result(call))

    def _make_result(self, call: ItemCall) -> ReplyResult:
        reply_result = self.make_outcome(call)
        if isinstance(reply_result, Err) and reply_result.err_value.outcome is Outcome.NOT_RUN:
            self.run_counts[call.call_id] -= 1
        return reply_result


def reply(text: str, status: int = 200) -> Reply:
    """Create a reply."""
    body = json.dumps({"text": text}).encode()
    return Reply(status, "application/json", body, "", 1, "stop", None, 1, 1)


def result_now(awaitable: Any) -> Any:
    """Return the result of a coroutine that finishes without waiting."""
    out: list[Any] = []
    Deferred.fromCoroutine(awaitable).addBoth(out.append)
    assert out, "still waiting"
    return out[0]


class World:
    """Hold a platform, an upstream and instances that share a fake clock."""

    def __init__(self, cfg: BatchSettings = DEFAULTS, clock: Clock | None = None) -> None:
        invariants.raise_on_violation(True)
        invariants.VIOLATIONS.clear()
        BACKGROUND_FAILURES.failures.clear()
        self.fake = fake_clock()
        self.clock = clock or self.fake.clock
        self.platform = FakePlatform(self.clock)
        self.upstream = FakeUpstream()
        self.cfg = cfg
        self.rand = random.Random(7)
        self.instances: dict[str, Batch] = {}
        self.gates: dict[str, Gate] = {}
        self.peers_disconnected = False
        self.profiles = dict(PROFILES)

    def start(self, name: str) -> Batch:
        """Start an instance."""
        gate = self.gates[name] = Gate()
        clock = Clock(GatedTimers(self.clock, gate), self.clock.wall_source)
        deps = BatchDeps(
            clock=clock,
            rand=self.rand,
            store=gated_store(self.platform.store(name), gate),
            dispatch=self.upstream.dispatch(name, gate),
            cfg=self.cfg,
            instance=name,
            boot=self.rand.getrandbits(32),
            find_profile=self.profiles.get,
            live_instances=lambda: list(self.instances),
            broadcast=lambda message: self._broadcast(name, message),
            metrics=make_metrics(),
        )
        self.instances[name] = start_batch(deps)
        return self.instances[name]

    def _broadcast(self, sender: str, message: Message) -> None:
        for name, batch in self.instances.items():
            if name != sender and not self.peers_disconnected:
                self.clock.call_later(0, partial(self._deliver, name, batch, message))

    def _deliver(self, name: str, batch: Batch, message: Message) -> None:
        self.gates[name].run(partial(batch.on_peer, message))

    def crash(self, name: str) -> None:
        """Stop an instance permanently, as a crash does."""
        self.gates[name].is_closed = True
        del self.instances[name]

    def advance(self, ms: int, step: int = 50) -> None:
        """Advance the clock."""
        for _ in range(0, ms, step):
            self.fake.jump(step)
        assert invariants.violation_count() == 0, invariants.VIOLATIONS
        assert BACKGROUND_FAILURES.failures == []

    def run_until_done(self, awaitable: Any) -> Any:
        """Return the result of a coroutine, advancing the clock as far as needed."""
        out: list[Any] = []
        Deferred.fromCoroutine(awaitable).addBoth(out.append)
        for _ in range(500):
            if out:
                return out[0]
            self.advance(50)
        raise AssertionError("still waiting")

    def upload(self, batch: Batch, count: int) -> FileRecord:
        """Upload a file with the given number of items."""
        intake = batch.start_upload(CALLER, "in.jsonl", "batch")
        for n in range(count):
            line = {"custom_id": f"c{n}", "url": URL, "body": {"n": n}}
            assert result_now(intake.feed(json.dumps(line).encode() + b"\n")) is None
        done: Result[FileRecord, Refusal] = self.run_until_done(intake.finish())
        return done.unwrap()

    def request(self, file: FileRecord, profile: str = "notes", key: str = "") -> JobRequest:
        """Create the request for a job."""
        return JobRequest(CALLER, key, file.file_id, URL, "24h", {}, profile, 0)

    def submit(
        self, batch: Batch, file: FileRecord, profile: str = "notes", key: str = ""
    ) -> FoundJob:
        """Submit a job."""
        done: Result[FoundJob, Refusal] = result_now(
            batch.jobs.accept(self.request(file, profile, key))
        )
        return done.unwrap()

    def job(self, batch: Batch, found: FoundJob) -> FoundJob:
        """Read a job."""
        done: Result[FoundJob, Refusal] = result_now(
            batch.reader.get_job(CALLER, found.record.job_id)
        )
        return done.unwrap()

    def lines(self, batch: Batch, found: FoundJob) -> list[Any]:
        """Return every line of a job's results and errors."""
        lines: list[Any] = []
        for prefix in ("file-out-", "file-err-"):
            output = result_now(
                batch.reader.find_output(CALLER, prefix + found.record.job_id)
            ).unwrap()
            errors: list[Any] = []
            text = result_now(_join_pieces(batch.reader.output_lines(output, errors.append)))
            assert not errors
            lines += [json.loads(line) for line in text.splitlines()]
        return lines


async def _join_pieces(pieces: Any) -> bytes:
    return b"".join([piece async for piece in pieces])
