"""Run items of jobs in the slots that online calls leave free, and free slots that they need.

runner.py tracks the jobs. This module starts the runs of their items at replicas and handles the
result of each run. policy/batch_order.py decides the order of items, policy/batch_limits.py the
number of runs at a replica.
"""

import math
import random
from collections.abc import Callable, Collection, Sequence
from functools import partial
from typing import Any, Final, NamedTuple

from result import Err, Result
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.http_headers import Headers

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.route_table import Route
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.failure_attribution import counts_against_replica
from papayapier.dispatch.lost_sends import request_fingerprint
from papayapier.jobs.free_slots import ReplicaFinder, SlotSnapshot, replica_use
from papayapier.jobs.item_run import ItemReceiver
from papayapier.jobs.owned_job import ItemState, OwnedJob
from papayapier.jobs.records import ItemOutcome
from papayapier.policy.batch_limits import keep_limit, start_limit
from papayapier.policy.batch_order import ItemRank, RunTimeEstimator, preempted, rank_item
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.forward_call import (
    ForwardCall,
    ForwardCallSender,
    ForwardedAnswer,
    StreamedAnswer,
)

# Far longer than a run usually takes; a run that reaches this limit is resumed at another replica.
MAX_RUN_MS: Final = 60_000
# Delay before an item is retried that a replica rejected or failed to finish.
RETRY_DELAY_MS: Final = 150
# Interval between checks whether a quarantined item may be sent.
QUARANTINE_CHECK_MS: Final = 500
UNPROCESSABLE: Final = 422
# A run that was interrupted resumes at its own software version if a slot is free there in time;
# later it costs less to run the item again at another version.
VERSION_WAIT_MS: Final = 2_000


class RunDeps(NamedTuple):
    """Group the dependencies of Runs.

    sharing returns the live instances that run batch, including this one; unreachable those of
    them that this instance cannot reach but others can. make_headers builds the headers for a
    replica, with_team sets the team of an item. decode_body decodes the body of an item,
    shared_parts the parts of its prompt that other prompts may share.
    """

    clock: Clock
    rand: random.Random
    instance_id: str
    load_tracker: LoadTracker
    outliers: OutlierDetector
    crashes: CrashWatch
    send: ForwardCallSender
    make_headers: Callable[[Headers, Replica, int | None, int], Headers]
    with_team: Callable[[Headers, str], Headers]
    decode_body: Callable[[Any], bytes]
    shared_parts: Callable[[Headers], tuple[str, ...]]
    request_id: bytes
    sharing: Callable[[], Sequence[str]]
    unreachable: Callable[[], Collection[str]]
    on_uses_changed: Callable[[], None]


class _Run(NamedTuple):
    """Hold one run in progress."""

    job: OwnedJob
    state: ItemState
    replica: Replica
    task: Deferred[None]


class Runs:
    """Manage the runs in progress.

    on_result is called for a job with a new result, on_slot_freed when a run has ended.
    """

    def __init__(
        self,
        deps: RunDeps,
        on_result: Callable[[OwnedJob], None],
        on_slot_freed: Callable[[], None],
    ) -> None:
        self._deps = deps
        self._on_result = on_result
        self._on_slot_freed = on_slot_freed
        self._runs: dict[str, _Run] = {}
        self._times: dict[str, RunTimeEstimator] = {}

    def count(self) -> int:
        """Return the number of running items."""
        return len(self._runs)

    def cancel_all(self) -> None:
        """Cancel every run."""
        for run in list(self._runs.values()):
            run.task.cancel()

    def cancel_job(self, job: OwnedJob) -> None:
        """Cancel the runs of a job."""
        for run in [run for run in self._runs.values() if run.job is job]:
            run.task.cancel()

    def cancel_items(self, items: list[ItemState]) -> None:
        """Cancel the runs of the given items."""
        for state in items:
            run = self._runs.get(state.item.id)
            if run is not None:
                run.task.cancel()

    def has_free_slot(self, upstream: str) -> bool:
        """Return whether an item of an upstream could be started now."""
        return (
            ReplicaFinder(self._slot_snapshot()).find(upstream, self._deps.clock.now()) is not None
        )

    def run_round(self, jobs: Sequence[tuple[OwnedJob, Route]]) -> None:
        """Free the slots that online calls need, and start items in free slots.

        Jobs are ordered by their due time.
        """
        slots = self._slot_snapshot()
        self._yield_slots(slots)
        finder = ReplicaFinder(slots)
        wall = self._deps.clock.wall()
        late: list[tuple[OwnedJob, Route, ItemState]] = []
        full_upstreams: set[str] = set()
        for job, route in jobs:
            upstream = route.shares[0].upstream
            for state in job.waiting(self._deps.clock.now()):
                if upstream in full_upstreams:
                    break
                if self._is_quarantined(job, route, state):
                    continue
                if self._rank_item(upstream, job, state, wall).late:
                    late.append((job, route, state))
                elif not self._start_with_share(finder, job, route, state):
                    self._preempt_late_run(slots, upstream, wall)
                    full_upstreams.add(upstream)
        for job, route, state in late:
            upstream = route.shares[0].upstream
            if upstream not in full_upstreams and not self._start_with_share(
                finder, job, route, state
            ):
                full_upstreams.add(upstream)
        for job, route in jobs:
            upstream = route.shares[0].upstream
            if upstream not in full_upstreams or job.is_running():
                continue
            if not self._start_without_share(finder, job, route):
                full_upstreams.remove(upstream)

    def _start_without_share(self, finder: ReplicaFinder, job: OwnedJob, route: Route) -> bool:
        """Start one item at a replica of whose slots this instance has no share.

        Return False if no such replica has a free slot.
        """
        now = self._deps.clock.now()
        upstream = route.shares[0].upstream
        for state in job.waiting(now):
            if self._is_quarantined(job, route, state):
                continue
            self._restart_if_version_gone(upstream, job, state, now)
            alone = self._deps.crashes.is_item_suspect(partial(self._fingerprint, job, state))
            replica = finder.find(
                upstream, now, has_share=False, version=state.version, alone=alone
            )
            if replica is not None:
                self._start(job, route, state, replica, has_share=False)
                return True
            if state.version is None:
                return False
        return True

    def _rank_item(self, upstream: str, job: OwnedJob, state: ItemState, wall: float) -> ItemRank:
        return rank_item(self._run_times(upstream), len(state.texts), job.due_ms, wall)

    def _run_times(self, upstream: str) -> RunTimeEstimator:
        return self._times.setdefault(upstream, RunTimeEstimator())

    def _start_with_share(
        self, finder: ReplicaFinder, job: OwnedJob, route: Route, state: ItemState
    ) -> bool:
        """Start an item if a replica has a free slot for it; return False if none has one."""
        upstream = route.shares[0].upstream
        now = self._deps.clock.now()
        self._restart_if_version_gone(upstream, job, state, now)
        alone = self._deps.crashes.is_item_suspect(partial(self._fingerprint, job, state))
        replica = finder.find(upstream, now, version=state.version, alone=alone)
        if replica is None and state.version is not None:
            replica = finder.find(upstream, now, alone=alone)
            if replica is None:
                return False
            if now < state.last_received_ms + VERSION_WAIT_MS:
                return True
            self._restart(job, state, "no free slot at the version")
        if replica is not None:
            self._start(job, route, state, replica)
        return replica is not None

    def _restart_if_version_gone(
        self, upstream: str, job: OwnedJob, state: ItemState, now: int
    ) -> None:
        """Discard the texts of an item whose version is unknown, or has no replica left."""
        if not state.texts:
            return
        usable = self._deps.load_tracker.usable_replicas(upstream, now)
        if state.version is None:
            self._restart(job, state, "the version is not known")
        elif usable and all(replica.version != state.version for replica in usable):
            self._restart(job, state, "no replica of the version is left")

    def _restart(self, job: OwnedJob, state: ItemState, reason: str) -> None:
        events.emit(
            events.ITEM_RESTARTED,
            job=job.job_id,
            item=state.item.id,
            version=state.version,
            after=state.last_event,
            reason=reason,
        )
        state.discard_texts()

    def _preempt_late_run(self, slots: SlotSnapshot, upstream: str, wall: float) -> None:
        """Cancel one late run, so that an item that can be done in time may start in its place."""
        for run in self._runs.values():
            replica_id = run.replica.id
            if run.replica.upstream != upstream or not self._rank_run(run, wall).late:
                continue
            # Above the start limit, runs continue but none are started, so cancelling a run there
            # would not free a slot for another item.
            if slots.load_tracker.own_calls(replica_id).batch <= start_limit(
                replica_use(slots, replica_id)
            ):
                self._cancel_run(run, "late, and another item can be done in time", 1)
                return

    def _start(
        self,
        job: OwnedJob,
        route: Route,
        state: ItemState,
        replica: Replica,
        has_share: bool = True,
    ) -> None:
        state.running = True
        now = self._deps.clock.now()
        self._deps.load_tracker.on_sent(replica.id, True, now)
        self._deps.on_uses_changed()
        events.emit(
            events.ITEM_STARTED,
            job=job.job_id,
            item=state.item.id,
            replica=replica.id,
            version=replica.version,
            after=state.last_event,
            left_ms=_left_ms(job, self._deps.clock),
            online=self._deps.load_tracker.online_calls(replica.id),
            batch=self._deps.load_tracker.batch_calls(replica.id),
            part=has_share,
        )
        self._deps.crashes.on_item_begun(
            state.item.id, replica.id, partial(self._fingerprint, job, state)
        )
        task = Deferred.fromCoroutine(self._run(job, route, state, replica))
        if task.called:
            return
        self._runs[state.item.id] = _Run(job, state, replica, task)

    async def _run(self, job: OwnedJob, route: Route, state: ItemState, replica: Replica) -> None:
        receiver = ItemReceiver(state, replica.version)
        began_ms = self._deps.clock.now()
        sent: Result[ForwardedAnswer, Failure] | None = None
        try:
            sent = await self._deps.send(replica, self._call(job, state, replica), receiver)
        except CancelledError:
            pass
        finally:
            self._runs.pop(state.item.id, None)
            state.running = False
            now = self._deps.clock.now()
            state.ran_ms += now - began_ms
            self._deps.load_tracker.on_finished(replica.id, True, now)
            self._deps.on_uses_changed()
        if sent is not None:
            fingerprint_of = partial(self._fingerprint, job, state)
            self._deps.crashes.on_item_finished(
                state.item.id,
                fingerprint_of,
                replica,
                sent,
                began_ms,
                partial(self._shared_parts, state),
                receiver.first_ms,
            )
        self._deps.crashes.on_item_ended(state.item.id)
        if sent is not None:
            self._on_run_result(job, route, state, replica, sent)
        self._on_slot_freed()

    def _call(self, job: OwnedJob, state: ItemState, replica: Replica) -> ForwardCall:
        headers = _item_headers(state)
        headers.setRawHeaders(b"Host", [job.record.host.encode()])
        headers.setRawHeaders(self._deps.request_id, [state.item.id.encode()])
        named = self._deps.with_team(headers, job.record.team)
        return ForwardCall(
            state.item.id,
            "POST",
            state.item.path,
            self._deps.make_headers(named, replica, None, state.last_event),
            self._deps.decode_body(state.item),
            self._deps.clock.now() + MAX_RUN_MS,
            fresh=False,
            stream=True,
        )

    def _fingerprint(self, job: OwnedJob, state: ItemState) -> str:
        """Return an item's request fingerprint; cached, as every round needs that of each item."""
        if not state.fingerprint:
            body = self._deps.decode_body(state.item)
            record = job.record
            state.fingerprint = request_fingerprint(
                "POST", record.host, state.item.path, body, record.team
            )
        return state.fingerprint

    def _shared_parts(self, state: ItemState) -> tuple[str, ...]:
        """Return the parts of an item's prompt; cached, as every round needs those of each item."""
        if state.parts is None:
            state.parts = self._deps.shared_parts(_item_headers(state))
        return state.parts

    def _is_quarantined(self, job: OwnedJob, route: Route, state: ItemState) -> bool:
        """Return whether an item may not be sent for a moment; delay its next check.

        It is a suspect, equal to a quarantined request, or has a quarantined part in its prompt.
        """
        crashes, was_quarantined = self._deps.crashes, state.quarantined
        pause_ms = crashes.item_pause_ms(partial(self._fingerprint, job, state))
        if not pause_ms and not crashes.parts.item_may_run(
            state.item.id, route.shares[0].upstream, partial(self._shared_parts, state)
        ):
            pause_ms = QUARANTINE_CHECK_MS
            if not was_quarantined:
                events.emit(events.ITEM_PART_HELD, job=job.job_id, item=state.item.id)
        state.quarantined = pause_ms > 0
        if pause_ms:
            state.not_before_ms = self._deps.clock.now() + min(pause_ms, QUARANTINE_CHECK_MS)
        return state.quarantined

    def _log_quarantine(self, job: OwnedJob, state: ItemState) -> None:
        pause_ms = self._deps.crashes.item_pause_ms(partial(self._fingerprint, job, state))
        if pause_ms:
            events.emit(
                events.ITEM_HELD,
                job=job.job_id,
                item=state.item.id,
                work=state.fingerprint,
                hold_ms=pause_ms,
            )

    def _on_run_result(
        self,
        job: OwnedJob,
        route: Route,
        state: ItemState,
        replica: Replica,
        sent: Result[ForwardedAnswer, Failure],
    ) -> None:
        if state.item.id not in job.items:
            return
        now = self._deps.clock.now()
        if isinstance(sent, Err):
            failure = sent.err_value
            if failure.kind is FailureKind.CANCELLED:
                return
            state.not_before_ms = now + RETRY_DELAY_MS
            if _counts_against_replica(failure):
                self._deps.outliers.on_end(replica.id, False, None, now)
            self._log_retry(job, state, replica, failure.reason)
            self._log_quarantine(job, state)
            return
        answer = sent.ok_value
        if isinstance(answer, StreamedAnswer):
            self._deps.outliers.on_end(replica.id, True, None, now)
            self._run_times(replica.upstream).on_done(len(state.texts), state.ran_ms)
            events.emit(
                events.ITEM_DONE,
                job=job.job_id,
                item=state.item.id,
                replica=replica.id,
                events=len(state.texts),
                ran_ms=state.ran_ms,
                left_ms=_left_ms(job, self._deps.clock),
            )
            job.last_progress_ms = now
            job.finish(state.item.id, ItemOutcome.DONE)
            self._on_result(job)
            return
        state.failures += 1
        state.not_before_ms = now + RETRY_DELAY_MS
        if answer.status == UNPROCESSABLE or state.failures >= route.attempts:
            events.emit(
                events.ITEM_FAILED,
                job=job.job_id,
                item=state.item.id,
                status=answer.status,
                failures=state.failures,
            )
            job.finish(state.item.id, ItemOutcome.GIVEN_UP)
            self._on_result(job)
            return
        self._log_retry(job, state, replica, f"status {answer.status}")

    def _log_retry(self, job: OwnedJob, state: ItemState, replica: Replica, reason: str) -> None:
        events.emit(
            events.ITEM_AGAIN,
            job=job.job_id,
            item=state.item.id,
            replica=replica.id,
            after=state.last_event,
            reason=reason,
        )

    def _slot_snapshot(self) -> SlotSnapshot:
        deps = self._deps
        return SlotSnapshot(
            deps.rand,
            deps.instance_id,
            deps.load_tracker,
            deps.outliers,
            deps.sharing(),
            deps.unreachable(),
        )

    def _yield_slots(self, slots: SlotSnapshot) -> None:
        """Cancel runs at each replica where online calls need the slots."""
        by_replica: dict[str, list[_Run]] = {}
        for run in self._runs.values():
            by_replica.setdefault(run.replica.id, []).append(run)
        wall = self._deps.clock.wall()
        for replica_id, runs in by_replica.items():
            over = len(runs) - keep_limit(replica_use(slots, replica_id))
            if over > 0:
                ranked = ((self._rank_run(run, wall), run) for run in runs)
                for run in preempted(ranked, over):
                    self._cancel_run(run, "online calls need the slot", over)

    def _rank_run(self, run: _Run, wall: float) -> ItemRank:
        return self._rank_item(run.replica.upstream, run.job, run.state, wall)

    def _cancel_run(self, run: _Run, reason: str, over: int) -> None:
        events.emit(
            events.ITEM_YIELDED,
            job=run.job.job_id,
            item=run.state.item.id,
            replica=run.replica.id,
            reason=reason,
            over=over,
        )
        run.task.cancel()


def _item_headers(state: ItemState) -> Headers:
    return Headers({name: [value] for name, value in state.item.headers.items()})


def _counts_against_replica(failure: Failure) -> bool:
    """Return whether a failed run counts against its replica.

    A replica that refuses connections has ended, and has the most free slots of all until it is
    removed from the list: in those seconds, 554 of 648 runs were started there without success.
    """
    if failure.kind is FailureKind.CONNECT:
        return True
    return failure.sent is Sent.MAYBE and counts_against_replica(failure)


def _left_ms(job: OwnedJob, clock: Clock) -> int:
    """Return the time until a job's results are due, for a log line; 0 if it is unknown."""
    return int(job.due_ms - clock.wall()) if math.isfinite(job.due_ms) else 0
