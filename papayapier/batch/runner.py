"""Open tasks as capacity allows, and hand their items out in the order of their jobs' need.

Items are handed out in slices between which the event loop is free, so that batch work delays
no online request by more than one slice. Tasks are opened as far ahead as the next items
need. The bytes of all open tasks together are bounded: while the store takes no results,
items go on until the bound is reached, and then wait.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Final, NamedTuple

from papayapier.batch.commits import CommitCalls, Commits
from papayapier.batch.opener import InputRoom, Opener, input_bytes
from papayapier.batch.opening import Grant
from papayapier.batch.records import CHUNK_BYTES, Tally
from papayapier.batch.sending import Sender
from papayapier.batch.turns import DRY_MS, Rates, Turns, caller_caps
from papayapier.batch.work import JobWork, OpenTask

if TYPE_CHECKING:
    from papayapier.batch.api import BatchDeps
    from papayapier.clock import Timer
    from papayapier.config.profiles import Profile

SLICE_ITEMS: Final = 8
OUTAGE_AHEAD_MS: Final = 60_000
MIN_INTENTS: Final = 8
MAX_INTENTS: Final = 64
TICK_MS: Final = 500
HAND_OVER_POLL_MS: Final = 20


class Holds(NamedTuple):
    """Group what the runner asks of the leases.

    grant gives the lease under which a job's tasks in a shard may be opened. may_send tells
    whether items of a shard may go out; it takes whether they may be repeated. may_commit
    tells whether the shard's progress and results may be stored now.
    """

    grant: Callable[[JobWork, int], Grant | None]
    may_send: Callable[[int, bool], bool]
    may_commit: Callable[[int], bool]


class RunnerCalls(NamedTuple):
    """Group what the runner tells: a task is recorded, or another holder has it."""

    recorded: Callable[[JobWork], None]
    superseded: Callable[[JobWork], None]


class Runner:
    """Run the tasks of the shards that this instance holds."""

    def __init__(self, deps: "BatchDeps", holder: str, holds: Holds, calls: RunnerCalls) -> None:
        self.jobs: dict[str, JobWork] = {}
        self._deps = deps
        self._holds = holds
        self._calls = calls
        commit_calls = CommitCalls(
            holds.may_commit, self._on_saved, self._on_recorded, self._on_given_up, self._on_lost
        )
        self._commits = Commits(deps, holder, commit_calls)
        self.rates = Rates()
        self.turns = Turns(deps.clock, self.rates, lambda job: self.profile_of(job).upstream)
        self._sender = Sender(deps, self._may_send, self._on_change, self.rates.on_ended)
        self._opener = Opener(deps, holds.grant, self.profile_of, self._on_opened, self.pump_soon)
        self._pump_timer: Timer | None = None
        self._tick_timer: Timer | None = None
        self._stopping = False
        deps.dispatch.watch_room(self.pump_soon)

    # Jobs and shards

    def adopt(self, job: JobWork, shard: int) -> None:
        """Run the unfinished tasks of a job that are in a shard held."""
        self.jobs[job.record.job_id] = job
        job.adopt(shard)
        self.turns.forget()
        self._keep_ticking()
        self.pump_soon()

    def drop_job(self, job: JobWork) -> None:
        """Stop everything of a job at once; what is not recorded stays so."""
        self.jobs.pop(job.record.job_id, None)
        self.turns.forget()
        job.pending.clear()
        job.opening.clear()
        for task in list(job.open.values()):
            self._drop(task)

    def drop_shard(self, shard: int) -> None:
        """Stop the tasks of a shard that another instance holds now."""
        for job in self.jobs.values():
            job.forget(shard)
            for task in [task for task in job.open.values() if task.shard == shard]:
                self._drop(task)

    async def hand_over(self, shard: int, limit_ms: int) -> None:
        """Stop the tasks of a shard, keeping what they have done.

        Items that may be repeated are stopped; others that were sent run to their end, for
        at most the limit.
        """
        until = self._deps.clock.now() + limit_ms
        self._stop_shard(shard, patient=True)
        while any(self._open_in(shard)):
            if self._deps.clock.now() >= until:
                self._stop_shard(shard, patient=False)
                until = self._deps.clock.now() + limit_ms
            if not self._holds.may_commit(shard):
                self.drop_shard(shard)
            await self._deps.clock.sleep(HAND_OVER_POLL_MS)

    def _stop_shard(self, shard: int, patient: bool) -> None:
        for job in self.jobs.values():
            job.forget(shard)
        for task in list(self._open_in(shard)):
            task.stopping = True
            idempotent = task.state.rules.idempotent
            for run in list(task.running.values()):
                if run.deferred is not None and (idempotent or not patient or not run.maybe_sent):
                    run.deferred.cancel()
            self._commits.kick(task)

    def _open_in(self, shard: int) -> Iterator[OpenTask]:
        for job in self.jobs.values():
            for task in list(job.open.values()):
                if task.shard == shard:
                    yield task

    def _drop(self, task: OpenTask) -> None:
        task.closed = True
        task.job.open.pop(task.span.task, None)
        for run in list(task.running.values()):
            if run.deferred is not None:
                run.deferred.cancel()
        task.running.clear()

    def begin_stop(self) -> None:
        """Send and open nothing more."""
        self._stopping = True

    def stop(self) -> None:
        """Stop the timers."""
        for timer in (self._pump_timer, self._tick_timer):
            if timer is not None and timer.active():
                timer.cancel()

    # Handing out items

    def pump_soon(self) -> None:
        """Hand out items in the next turn of the event loop."""
        if self._pump_timer is None and not self._stopping and self.jobs:
            self._pump_timer = self._deps.clock.call_later(0, self._pump)

    def _pump(self) -> None:
        self._pump_timer = None
        more = False
        for upstream, jobs in self.turns.served(self.jobs.values()).items():
            more = self._serve(upstream, jobs) or more
        if more:
            self.pump_soon()
        elif self.turns.dry(self.jobs.values()):
            self._pump_timer = self._deps.clock.call_later(DRY_MS, self._pump)

    def _serve(self, upstream: str, jobs: list[JobWork]) -> bool:
        """Hand out one slice of an upstream's items; tell whether there is more to do now."""
        room = self._deps.dispatch.room(upstream)
        left = min(room, SLICE_ITEMS)
        if self.bytes_held() >= self._limit():
            left = 0
            self._make_room()
        running = sum(job.in_flight() for job in jobs)
        caps = caller_caps(jobs, room + running)
        flying: Counter[str] = Counter()
        for job in jobs:
            flying[job.record.caller] += job.in_flight()
        for job in jobs:
            caller = job.record.caller
            sent = self._send_of(job, min(left, caps[caller] - flying[caller]), room)
            flying[caller] += sent
            left -= sent
        for job in jobs:
            if left == 0:
                break
            left -= self._send_of(job, left, room)
        ahead = self.rates.rate(upstream) * OUTAGE_AHEAD_MS / max(1, len(caps))
        self._opener.open_ahead(jobs, caps, int(ahead), self._input_room(jobs))
        return left == 0 and room > SLICE_ITEMS

    def _input_room(self, jobs: list[JobWork]) -> InputRoom:
        """Return how many bytes of input may still be opened for an upstream's jobs.

        Input takes half of the memory, in equal parts for each upstream, because tasks of an
        upstream that stands still keep theirs. The other half is for results, but for a
        first task of a caller that has none.
        """
        upstreams = max(1, self.turns.upstreams())
        share = max(CHUNK_BYTES, self._limit() // 2 // upstreams)
        return InputRoom(share - input_bytes(jobs), self._limit() - self.input_bytes())

    def _make_room(self) -> None:
        """Store the results of the task that holds most, though the task is not finished.

        Else memory could be full of results of tasks none of which can go on to its end.
        """
        tasks = [task for job in self.turns.busy() for task in job.open.values()]
        largest = max(tasks, key=lambda task: task.state.held_bytes, default=None)
        if largest is not None and not any(task.spill_wanted for task in tasks):
            largest.spill_wanted = True
            self._commits.kick(largest)

    def _send_of(self, job: JobWork, most: int, room: int) -> int:
        profile = self.profile_of(job)
        sent = 0
        for task in list(job.open.values()):
            sent += self._send_some(task, most - sent, profile)
            self._intend_some(task, room)
        return sent

    def _send_some(self, task: OpenTask, most: int, profile: "Profile") -> int:
        sent = 0
        while sent < most and self._may_send(task):
            item = task.state.take()
            if item is None:
                break
            self._sender.send(task, item, profile)
            sent += 1
        return sent

    def _intend_some(self, task: OpenTask, room: int) -> None:
        """Write the next intents shortly before they are needed.

        Items that are intended and not sent become unknown when the instance is lost, so no
        more are intended than would fill the capacity seen now.
        """
        running = len(task.running)
        if room == 0 or task.stopping or task.state.startable() > running // 2:
            return
        most = max(MIN_INTENTS, min(MAX_INTENTS, room + running))
        if task.state.intend(most):
            self._commits.kick(task)

    def profile_of(self, job: JobWork) -> "Profile":
        """Return the profile in force, as strict about repeating as the job was accepted."""
        accepted = job.record.profile
        current = self._deps.profile(accepted.name) or accepted
        if current.idempotent and not accepted.idempotent:
            return current._replace(idempotent=False)
        return current

    def _may_send(self, task: OpenTask) -> bool:
        if task.closed or task.stopping or self._stopping or not task.job.runs():
            return False
        return self._holds.may_send(task.shard, task.state.rules.idempotent)

    def bytes_held(self) -> int:
        """Return the size of what all open tasks keep in memory."""
        tasks = [task for job in self.turns.busy() for task in job.open.values()]
        return self.input_bytes() + sum(task.state.held_bytes for task in tasks)

    def input_bytes(self) -> int:
        """Return the size of the input of all open tasks, and a bound for those being opened."""
        return input_bytes(self.turns.busy())

    def _limit(self) -> int:
        return self._deps.cfg.result_buffer_bytes

    # What changes

    def on_holds_changed(self) -> None:
        """Go on with what waited for a lease to be confirmed."""
        for job in list(self.jobs.values()):
            for task in list(job.open.values()):
                self._commits.kick(task)
        self.pump_soon()

    def _on_change(self, task: OpenTask) -> None:
        self._commits.kick(task)
        self.pump_soon()

    def _on_opened(self, task: OpenTask) -> None:
        if self._stopping:
            return
        task.job.open[task.span.task] = task
        self._commits.on_opened(task)
        self._on_change(task)

    def _on_saved(self, task: OpenTask) -> None:
        task.state.wake(self._deps.clock.now())
        self.pump_soon()

    def _on_recorded(self, task: OpenTask, tally: Tally) -> None:
        self._drop(task)
        task.job.on_done(task.span.task, tally)
        self._calls.recorded(task.job)
        self.pump_soon()

    def _on_given_up(self, task: OpenTask) -> None:
        self._drop(task)

    def _on_lost(self, task: OpenTask) -> None:
        self._drop(task)
        self._calls.superseded(task.job)

    def _keep_ticking(self) -> None:
        if self._tick_timer is None and not self._stopping:
            self._tick_timer = self._deps.clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        """Wake retries that are due, and store checkpoints that are due."""
        self._tick_timer = None
        now = self._deps.clock.now()
        for job in list(self.jobs.values()):
            for task in list(job.open.values()):
                task.state.wake(now)
                self._commits.kick(task)
        self.pump_soon()
        if self.jobs:
            self._keep_ticking()
