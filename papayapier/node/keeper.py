"""Build a keeper: it runs the items of batch jobs, and retires its machine on request."""

import random
from collections.abc import Callable
from functools import partial
from typing import Any, Final

from result import Err, Ok, Result

from papayapier import events
from papayapier.clock import Clock
from papayapier.config import routing_registry
from papayapier.config.teams import Team
from papayapier.jobs import progress
from papayapier.jobs.commits import WrittenGroup
from papayapier.jobs.expiry import Expiry, ExpiryDeps
from papayapier.jobs.job_service import JobService, JobServiceDeps
from papayapier.jobs.local_job_store import LocalJobStore, LocalJobStoreDeps
from papayapier.jobs.notifications import ReceivedNotifications
from papayapier.jobs.records import JOBS_PREFIX, JobRecord
from papayapier.jobs.runner import JobRunner, RunnerDeps
from papayapier.jobs.runs import RunDeps
from papayapier.lasting_tasks import run_always
from papayapier.node.allowances import GrantDeps, serve_allowances
from papayapier.node.base import (
    FOLLOW_SLOWLY,
    FOLLOW_SOON,
    NodeBase,
    close_base,
    follow,
    follow_common,
    make_base,
)
from papayapier.node.job_copies import run_in_threads, serve_copies
from papayapier.node.job_reading import read_from_store, serve_reads
from papayapier.node.lost_keepers import mark_lost_keepers
from papayapier.node.orphans import recover_orphans, serve_run_requests
from papayapier.node.processes import Role
from papayapier.node.retirement import Retirement
from papayapier.node.settings import NodeSettings
from papayapier.peer.messages import CallsTold, Heartbeat, JobChanged
from papayapier.platform import headers, job_calls
from papayapier.platform.retirements import RETIREMENTS_PREFIX
from papayapier.policy.allowances import Granter
from papayapier.policy.job_copies import NOT_REQUESTED, Copies
from papayapier.policy.reachability import ReachabilityReports
from papayapier.sources import sources_id
from papayapier.store.api import Change
from papayapier.store.budget import Priority

LEAVE_TICK_MS: Final = 50


class Keeper:
    """Hold a running keeper."""

    def __init__(self, base: NodeBase, runner: JobRunner, local_jobs: LocalJobStore | None) -> None:
        self._base = base
        self._runner = runner
        self._local_jobs = local_jobs

    async def shut_down(self) -> None:
        """Hand over the jobs, write finished results, and stop."""
        base = self._base
        events.emit(events.PROCESS_LEAVING, running=self._runner.running_count())
        self._runner.stop()
        base.drain.leave(base.clock.now())
        base.placer.leave()
        while base.drain.tick(base.clock.now(), self._runner.unwritten_count()) != "stopped":
            await base.clock.sleep(LEAVE_TICK_MS)
        self._runner.close()
        if self._local_jobs is not None:
            self._local_jobs.close()
        await close_base(base)


async def start_keeper(
    reactor: Any, clock: Clock, cfg: NodeSettings, rand: random.Random
) -> Result[Keeper, str]:
    """Start a keeper, or return the reason why it cannot start."""
    made = make_base(reactor, clock, cfg, rand, Role.KEEPER)
    if isinstance(made, Err):
        return made
    base = made.ok_value
    me = cfg.instance.id
    reachability = ReachabilityReports()

    def live_keepers() -> list[str]:
        """Return the live keepers; this one is included unless it is leaving and others live."""
        others = _other_live_keepers(base, reachability)
        return sorted(others if others and base.drain.state() != "serving" else {*others, me})

    job_service = _make_read_service(base, lambda job_id: runner.stored_record(job_id))
    serve_reads(base.hub, job_service)

    def publish_groups(job_id: str, groups: int, written: WrittenGroup | None) -> None:
        if written is not None:
            job_service.on_group_written(job_id, written)
        else:
            job_service.on_group_count(job_id, groups)
        notification = base.group_notifications.next_notification(job_id, groups, clock.now())
        # In a large fleet the next heartbeats carry the notification, and readers wait at most half
        # a second for it: a broadcast for each group would be a tenth of all messages.
        if base.hub.plan().full_mesh:
            base.hub.broadcast(JobChanged(job_id, groups, notification.number))

    runs = RunDeps(
        clock=clock,
        rand=rand,
        instance_id=me,
        load_tracker=base.load_tracker,
        outliers=base.outliers,
        crashes=base.crashes,
        send=base.send,
        make_headers=headers.with_replica,
        with_team=headers.with_team,
        decode_body=job_calls.item_body,
        shared_parts=headers.shared_parts,
        request_id=headers.REQUEST_ID,
        sharing=live_keepers,
        unreachable=lambda: base.hub.silent() & base.nodes.with_role(Role.KEEPER),
        on_uses_changed=base.hub.on_uses_changed,
    )
    config_store = base.view(Priority.CONFIG)
    runner = JobRunner(
        RunnerDeps(
            runs,
            base.view(Priority.BULK),
            base.value_bound,
            base.routing.table,
            lambda: routing_registry.read_from_store(config_store, base.routing),
            publish_groups,
            base.group_notifications,
        )
    )
    if cfg.jobs.folder:
        await _start_progress(base, runner)
    base.hub.on_change(runner.update_owned_jobs)
    base.hub.subscribe(
        Heartbeat, lambda peer, heartbeat: reachability.on_report(peer, heartbeat.unreachable)
    )
    # A peer without open calls takes no slot; slots that it has freed are used in the next round.
    base.hub.subscribe(
        Heartbeat, lambda _peer, heartbeat: runner.schedule_round() if heartbeat.uses else None
    )
    base.hub.subscribe(CallsTold, lambda _peer, _message: runner.schedule_round())
    follow_common(base, Role.KEEPER)
    expiry = Expiry(
        ExpiryDeps(clock, base.view(Priority.BULK), cfg.jobs.keep_s, runner.owns_closed)
    )

    def on_job(change: Change) -> None:
        runner.on_change(change)
        expiry.on_change(change)

    follow(base, JOBS_PREFIX, on_job, FOLLOW_SOON)
    base.tasks.append(run_always(clock, "expiry", expiry.run))
    local_jobs = _start_local_jobs(base, runner) if cfg.jobs.folder else None
    retirement = Retirement(base, runner, local_jobs)
    follow(base, RETIREMENTS_PREFIX, retirement.on_change, FOLLOW_SLOWLY)
    runner.start()
    _serve_allowances(base)
    _mark_lost_keepers(base)
    serve_run_requests(base.hub, runner.takeover)
    recover = partial(recover_orphans, base.hub, clock, runner.takeover)
    base.tasks.append(run_always(clock, "orphans", recover))
    events.emit(events.PROCESS_STARTED, instance=me, role=Role.KEEPER.value, sources=sources_id())
    return Ok(Keeper(base, runner, local_jobs))


def _mark_lost_keepers(base: NodeBase) -> None:
    store, me = base.view(Priority.LEASE), base.cfg.instance.id
    mark = partial(mark_lost_keepers, base.hub, base.clock, base.nodes, store, me)
    base.tasks.append(run_always(base.clock, "lost keepers", mark))


def _serve_allowances(base: NodeBase) -> None:
    """Grant the allowances of the teams that fall to this keeper."""
    me, clock = base.cfg.instance.id, base.clock

    def listed() -> frozenset[str]:
        return base.nodes.with_role(Role.KEEPER)

    def team(name: str) -> Team | None:
        table = base.routing.table()
        teams = table.cfg.teams if table is not None else None
        return teams.by_name(name) if teams is not None else None

    serve_allowances(
        GrantDeps(
            base.hub,
            clock,
            me,
            Granter(me, base.cfg.allowance.bound(), clock.now()),
            granting=lambda: listed() & base.hub.agreed_live(),
            listed=listed,
            leaving=lambda: base.drain.state() != "serving",
            team=team,
        )
    )


def _other_live_keepers(base: NodeBase, reachability: ReachabilityReports) -> frozenset[str]:
    """Return the other live keepers, by the criterion that all keepers use."""
    keepers = base.nodes.with_role(Role.KEEPER) - {base.cfg.instance.id}
    if not base.hub.plan().full_mesh:
        # Only hubs are connected to all instances. An entry without a connection to a keeper does
        # not notice its loss, so its reachability reports are of no use.
        return keepers & base.hub.agreed_live()
    reachable = frozenset(base.hub.live())
    unreachable = keepers - reachable
    live = keepers & reachable
    if unreachable:
        entries = base.nodes.with_role(Role.ENTRY) & reachable
        # Unreachable from here but reachable from the entries, and not leaving.
        cut_off = unreachable & base.hub.silent()
        live |= {keeper for keeper in cut_off if reachability.is_reachable(keeper, entries)}
    return live


def _make_read_service(base: NodeBase, known: Callable[[str], JobRecord | None]) -> JobService:
    """Build the job service that entries of a large fleet read from.

    It accepts no jobs: they are submitted at entries only.
    """

    async def store_nothing(_job_id: str, _value: bytes) -> Copies:
        return NOT_REQUESTED

    notifications = ReceivedNotifications(lambda: base.nodes.with_role(Role.KEEPER), base.hub.live)
    return JobService(
        JobServiceDeps(
            base.clock,
            base.rand,
            base.view(Priority.CLAIM),
            notifications,
            replicate=store_nothing,
            is_store_unavailable=lambda: base.budget.down_since() is not None,
            is_store_complete=lambda: False,
            read_remote=read_from_store,
            config_position=base.routing.position,
            bound=base.value_bound,
            known_record=known,
        )
    )


async def _start_progress(base: NodeBase, runner: JobRunner) -> None:
    """Resume from the progress file of an earlier run, and start to save progress regularly."""
    folder = base.cfg.jobs.folder
    deps = progress.SaverDeps(
        base.clock,
        folder,
        run_in_threads(base.reactor),
        runner.progress,
        base.crashes.snapshot,
        base.crashes.parts.snapshot,
    )
    snapshot = await progress.load_with_timeout(deps)
    runner.restore_progress(snapshot.items)
    base.loss_exchange.restore(snapshot.losses, snapshot.parts)
    save = partial(progress.save_regularly, deps, snapshot.number)
    base.tasks.append(run_always(base.clock, "progress", save))


def _start_local_jobs(base: NodeBase, runner: JobRunner) -> LocalJobStore:
    """Start to store jobs locally for entries, beginning with those left by an earlier run."""
    cfg = base.cfg
    local_jobs = LocalJobStore(
        LocalJobStoreDeps(
            base.clock,
            base.rand,
            base.view(Priority.CLAIM),
            cfg.jobs.folder,
            cfg.jobs.keep_s,
            cfg.store.longest_pause_ms,
            run_in_threads(base.reactor),
            runner.on_stored_locally,
        )
    )
    serve_copies(base.hub, local_jobs)
    base.tasks.append(run_always(base.clock, "locally stored jobs", local_jobs.start))
    return local_jobs
