"""Run batch work of whole instances on an in-memory platform and a scripted fleet."""

import json
import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from result import Ok, Result
from twisted.internet.defer import Deferred

from papayapier import invariants
from papayapier.batch.api import BatchDeps, BatchDispatch, ItemCall
from papayapier.batch.files import FileIntake
from papayapier.batch.jobs import JobRequest
from papayapier.batch.lookup import FoundJob
from papayapier.batch.records import FileRecord
from papayapier.batch.start import Batch, start_batch
from papayapier.clock import Clock, FakeClock, fake_clock
from papayapier.config.profiles import Profile
from papayapier.errors import Refusal
from papayapier.metrics import make_metrics
from papayapier.settings import BatchSettings
from papayapier.upstream.api import Reply
from tests.fake_store import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULTS = BatchSettings()
URL = "/v1/chat/completions"
PROFILES = {
    "notes": Profile("notes", "lm", "batch", 3_600_000, True),
    "bookings": Profile("bookings", "lm", "batch", 3_600_000, False),
}


def reply(text: str) -> Reply:
    body = json.dumps({"text": text}).encode()
    return Reply(200, "application/json", body, "", 1, "stop", None, 1, 1)


class FakeFleet:
    """Answer items; script what each call id gets, and count how often it ran."""

    def __init__(self, slots: int = 8) -> None:
        self.slots = slots
        self.runs: Counter[str] = Counter()
        self.held: dict[str, Deferred[Result[Reply, Refusal]]] = {}
        self.hold = False
        self.answer: Callable[[ItemCall], Result[Reply, Refusal]] = lambda call: Ok(
            reply(call.call_id)
        )

    def dispatch(self) -> BatchDispatch:
        open_calls: set[str] = set()

        async def run(call: ItemCall) -> Result[Reply, Refusal]:
            assert call.still_allowed()
            self.runs[call.call_id] += 1
            if not self.hold:
                return self.answer(call)
            open_calls.add(call.call_id)
            waiting: Deferred[Result[Reply, Refusal]] = Deferred()
            self.held[call.call_id] = waiting
            try:
                return await waiting
            finally:
                open_calls.discard(call.call_id)
                self.held.pop(call.call_id, None)

        return BatchDispatch(lambda _: self.slots - len(open_calls), run, lambda _: None)


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
        self.fake: FakeClock = fake_clock()
        self.clock = clock or self.fake.clock
        self.platform = FakePlatform(self.clock)
        self.fleet = FakeFleet()
        self.cfg = cfg
        self.rand = random.Random(7)
        self.instances: dict[str, Batch] = {}

    def start(self, name: str) -> Batch:
        deps = BatchDeps(
            clock=self.clock,
            rand=self.rand,
            store=self.platform.store(name),
            dispatch=self.fleet.dispatch(),
            cfg=self.cfg,
            instance=name,
            boot=self.rand.getrandbits(32),
            profile=PROFILES.get,
            live_instances=lambda: list(self.instances),
            tell_peers=lambda _: None,
            metrics=make_metrics(),
        )
        self.instances[name] = start_batch(deps)
        return self.instances[name]

    def advance(self, ms: int, step: int = 50) -> None:
        for _ in range(0, ms, step):
            self.fake.advance(step)

    def upload(self, batch: Batch, count: int) -> FileRecord:
        intake = FileIntake(batch.deps, "sulina", "in.jsonl", "batch")
        for n in range(count):
            line = {"custom_id": f"c{n}", "url": URL, "body": {"n": n}}
            assert now(intake.feed(json.dumps(line).encode() + b"\n")) is None
        done: Result[FileRecord, Refusal] = now(intake.finish())
        return done.unwrap()

    def submit(
        self, batch: Batch, file: FileRecord, profile: str = "notes", key: str = ""
    ) -> FoundJob:
        req = JobRequest("sulina", key, file.file_id, URL, "24h", {}, profile, 0)
        done: Result[FoundJob, Refusal] = now(batch.jobs.accept(req))
        return done.unwrap()
