"""Test batch processing with hypothesis state machines: one task's state, and whole instances."""

import random
from collections import Counter
from typing import TYPE_CHECKING, Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier import invariants
from papayapier.batch.records import Checkpoint, ItemResult, ItemState, JobState
from papayapier.batch.task_state import TaskRules, TaskState
from papayapier.errors import ErrorKind, not_run_refusal
from papayapier.errors import unknown_refusal as refused_unknown
from tests.batch_world import CALLER, World, reply
from tests.fake_store import Fault

if TYPE_CHECKING:
    from papayapier.batch.lookup import FoundJob

SIZE = 6
ATTEMPTS = 3
IDS = [f"c{n}" for n in range(SIZE)]
MAX_SETTLE_MS = 120_000


class TaskMachine(RuleBasedStateMachine):
    """Run one task through holders that are lost and replaced at any point.

    sends counts the sends to replicas. stored is the checkpoint in the store.
    """

    @initialize(idempotent=st.booleans())
    def begin(self, idempotent: bool) -> None:
        invariants.raise_on_violation(True)
        self.idempotent = idempotent
        self.sends: Counter[int] = Counter()
        self.losses = 0
        self.stored: Checkpoint | None = None
        self.version = 0
        self.pending_save: Checkpoint | None = None
        self.running: list[int] = []
        self.state = TaskState(SIZE, TaskRules(idempotent, ATTEMPTS))

    @rule(most=st.integers(1, SIZE))
    def intend(self, most: int) -> None:
        self.state.intend(most)

    @rule()
    def send(self) -> None:
        item = self.state.take_item()
        if item is not None:
            self.sends[item] += 1
            self.running.append(item)

    @precondition(lambda self: self.running)
    @rule(pick=st.integers(0, SIZE))
    def answer(self, pick: int) -> None:
        item = self.running.pop(pick % len(self.running))
        self.state.end_item(result(item, ItemState.COMPLETED))

    @precondition(lambda self: self.running and self.idempotent)
    @rule(pick=st.integers(0, SIZE))
    def fail(self, pick: int) -> None:
        item = self.running.pop(pick % len(self.running))
        if not self.state.fail_attempt(item, 0):
            self.state.end_item(result(item, ItemState.FAILED))

    @precondition(lambda self: self.running and self.idempotent)
    @rule(pick=st.integers(0, SIZE))
    def put_back(self, pick: int) -> None:
        item = self.running.pop(pick % len(self.running))
        self.state.requeue(item, 0)

    @rule()
    def wake(self) -> None:
        self.state.wake_retries(1)

    @precondition(lambda self: self.pending_save is None)
    @rule()
    def offer_checkpoint(self) -> None:
        self.pending_save = self.state.snapshot("w", 1)

    @precondition(lambda self: self.pending_save is not None)
    @rule(told=st.booleans())
    def take_checkpoint(self, told: bool) -> None:
        """Store the checkpoint; the holder may be lost before it receives the reply."""
        self.version += 1
        self.stored = self.pending_save
        self.pending_save = None
        if told:
            self.state.on_saved(self.version)
        else:
            self.lose()

    @rule()
    def lose(self) -> None:
        """Replace the holder by one that knows only what is stored."""
        self.losses += 1
        self.running = []
        self.pending_save = None
        self.state = TaskState(SIZE, TaskRules(self.idempotent, ATTEMPTS, cautious=True))
        if self.stored is not None:
            self.state.resume(self.stored, self.version, [])
            if self.stored.intents:
                self.state.on_holder_lost(self.stored.intents, IDS, 0)

    @precondition(lambda self: self.state.remaining() == 0)
    @rule()
    def record(self) -> None:
        final = self.state.final_results("w", 1)
        assert sorted(entry.item for entry in final.results) == list(range(SIZE))

    @invariant()
    def nothing_runs_too_often(self) -> None:
        if not hasattr(self, "state"):
            return
        if not self.idempotent:
            assert max(self.sends.values(), default=0) <= 1
        ended = [self.state.result_of(item) for item in self.state.ended]
        assert all(entry is not None and entry.attempts <= ATTEMPTS for entry in ended)

    @invariant()
    def counts_add_up(self) -> None:
        if hasattr(self, "state"):
            assert self.state.tally.total() == len(self.state.ended)
            assert self.state.remaining() + len(self.state.ended) == SIZE


def result(item: int, state: ItemState) -> ItemResult:
    return ItemResult(item, IDS[item], state, 200, b"{}", True, "", "", 0, 0)


class WorldMachine(RuleBasedStateMachine):
    """Run jobs on several instances under injected faults.

    At the end all faults are removed; then every accepted job must end with one result per
    item. The fake upstream counts how often each item ran.
    """

    @initialize(seed=st.integers(0, 1_000))
    def begin(self, seed: int) -> None:
        self.world = World()
        self.world.rand = random.Random(seed)
        self.world.upstream.hold_replies = True
        self.jobs: dict[str, FoundJob] = {}
        self.files: dict[str, Any] = {}
        self.cancelled: set[str] = set()
        self.cancels_sent: set[str] = set()
        self.names = iter(f"i{n}" for n in range(1_000))
        self.keys = 0
        for _ in range(2):
            self.world.start(next(self.names))
        self.world.advance(3_000)

    def open_names(self) -> list[str]:
        return [name for name in self.world.instances if not self.world.gates[name].is_closed]

    def pick(self, number: int) -> str:
        names = self.open_names()
        return names[number % len(names)]

    @rule(ms=st.sampled_from([100, 1_000, 7_000]))
    def pass_time(self, ms: int) -> None:
        self.world.advance(ms, step=100)

    @rule(most=st.sampled_from([1, 10, 1_000]))
    def answer(self, most: int) -> None:
        self.world.upstream.release(most)
        self.world.advance(100)

    @rule(kind=st.sampled_from(["ok", "crash", "away"]))
    def change_fleet(self, kind: str) -> None:
        answers: dict[str, Any] = {
            "ok": lambda call: Ok(reply(call.call_id)),
            "crash": lambda call: Err(refused_unknown(ErrorKind.UPSTREAM_FAILED, "crash")),
            "away": lambda call: Err(not_run_refusal(ErrorKind.NO_UPSTREAM, "away")),
        }
        self.world.upstream.make_outcome = answers[kind]

    @precondition(lambda self: len(self.jobs) < 4 and self.open_names())
    @rule(number=st.integers(0, 9), profile=st.sampled_from(["notes", "bookings"]))
    def submit(self, number: int, profile: str) -> None:
        batch = self.world.instances[self.pick(number)]
        self.keys += 1
        self.later(self._submit(batch, f"k{self.keys}", profile))

    @precondition(lambda self: self.files and self.open_names())
    @rule(number=st.integers(0, 9))
    def resubmit(self, number: int) -> None:
        key, (_, profile) = list(self.files.items())[number % len(self.files)]
        batch = self.world.instances[self.pick(number)]
        self.later(self._resubmit(batch, key, profile))

    async def _submit(self, batch: Any, key: str, profile: str) -> None:
        intake = batch.start_upload(CALLER, "in", "batch")
        lines = "".join(
            f'{{"custom_id": "c{n}", "url": "/v1/completions", "body": {{"n": {n}}}}}\n'
            for n in range(70)
        )
        if await intake.feed(lines.encode()) is None:
            stored = await intake.finish()
            if isinstance(stored, Ok):
                self.files[key] = (stored.ok_value, profile)
                await self._resubmit(batch, key, profile)

    async def _resubmit(self, batch: Any, key: str, profile: str) -> None:
        request = self.world.request(self.files[key][0], profile, key)
        done = await batch.jobs.accept(request._replace(endpoint="/v1/completions"))
        if isinstance(done, Ok):
            known = self.jobs.setdefault(key, done.ok_value)
            assert known.record.job_id == done.ok_value.record.job_id

    @precondition(lambda self: self.jobs and self.open_names())
    @rule(number=st.integers(0, 9))
    def cancel(self, number: int) -> None:
        key = list(self.jobs)[number % len(self.jobs)]
        batch = self.world.instances[self.pick(number)]
        self.later(self._cancel(batch, key))

    async def _cancel(self, batch: Any, key: str) -> None:
        self.cancels_sent.add(key)
        done = await batch.jobs.cancel(CALLER, self.jobs[key].record.job_id)
        if isinstance(done, Ok) and done.ok_value.record.state is JobState.CANCELLING:
            self.cancelled.add(key)

    @precondition(lambda self: len(self.open_names()) > 1)
    @rule(number=st.integers(0, 9))
    def lose(self, number: int) -> None:
        self.world.crash(self.pick(number))

    @precondition(lambda self: len(self.open_names()) > 1)
    @rule(number=st.integers(0, 9))
    def pause(self, number: int) -> None:
        self.world.gates[self.pick(number)].is_closed = True

    @rule()
    def go_on(self) -> None:
        for name in self.world.instances:
            self.world.gates[name].open()

    @precondition(lambda self: len(self.world.instances) < 4)
    @rule()
    def join(self) -> None:
        self.world.start(next(self.names))

    @precondition(lambda self: len(self.open_names()) > 1)
    @rule(number=st.integers(0, 9))
    def stop(self, number: int) -> None:
        name = self.pick(number)
        self.later(self._stop(name))

    async def _stop(self, name: str) -> None:
        batch = self.world.instances.pop(name)
        await batch.stop()

    @rule(fault=st.sampled_from(list(Fault)), call=st.sampled_from(["", "create", "update"]))
    def break_calls(self, fault: Fault, call: str) -> None:
        self.world.platform.fail(fault, call=call, times=3, delay_ms=1_500)

    @rule(cut=st.booleans())
    def cut_peers(self, cut: bool) -> None:
        self.world.peers_disconnected = cut

    @rule(down=st.booleans())
    def outage(self, down: bool) -> None:
        self.world.platform.down = down

    def later(self, work: Any) -> None:
        done = Deferred.fromCoroutine(work)
        done.addErrback(lambda failure: self.failures.append(failure))
        self.world.advance(100)

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        world = self.world
        world.platform.down = False
        world.platform.clear_faults()
        world.upstream.make_outcome = lambda call: Ok(reply(call.call_id))
        world.upstream.hold_replies = False
        self.go_on()
        for _ in range(MAX_SETTLE_MS // 1_000):
            world.upstream.release()
            world.advance(1_000, step=100)
            if self.all_ended():
                break
        assert not self.failures, self.failures
        for key in self.jobs:
            self.check(key)
        non_idempotent = [
            found for key, found in self.jobs.items() if self.files[key][1] == "bookings"
        ]
        for found in non_idempotent:
            runs = [
                n for call, n in world.upstream.run_counts.items() if found.record.job_id in call
            ]
            assert max(runs, default=0) <= 1

    failures: list[Any]

    def __init__(self) -> None:
        super().__init__()
        self.failures = []

    def all_ended(self) -> bool:
        batch = next(iter(self.world.instances.values()))
        return all(self.world.job(batch, found).ended for found in self.jobs.values())

    def check(self, key: str) -> None:
        world = self.world
        batch = next(iter(world.instances.values()))
        found = world.job(batch, self.jobs[key])
        assert found.ended, found.record
        lines = world.lines(batch, found)
        assert Counter(line["custom_id"] for line in lines) == Counter(f"c{n}" for n in range(70))
        counted = Counter((entry["error"] or {"state": "completed"})["state"] for entry in lines)
        assert counted == Counter({k: v for k, v in found.record.tally._asdict().items() if v})
        was_cancelled = found.record.state is JobState.CANCELLED
        assert was_cancelled or key not in self.cancelled
        assert not was_cancelled or key in self.cancels_sent


def test_task_core() -> None:
    run_state_machine_as_test(
        TaskMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=150,
            stateful_step_count=40,
        ),
    )


def test_instances_under_faults() -> None:
    run_state_machine_as_test(
        WorldMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            database=None,
            max_examples=30,
            stateful_step_count=25,
        ),
    )
