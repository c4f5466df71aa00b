"""Build a keeper: it runs the items of batch jobs, and retires its machine on request."""

import random
from collections.abc import Callable
from typing import Any, Final

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier import events
from papayapier.clock import Clock
from papayapier.config.teams import Team
from papayapier.jobs import progress
from papayapier.jobs.commits import Written
from papayapier.jobs.desk import DeskDeps, JobDesk
from papayapier.jobs.expiry import Expiry, ExpiryDeps
from papayapier.jobs.news import GroupsHeard
from papayapier.jobs.records import JOBS, JobRecord
from papayapier.jobs.runner import JobRunner, RunnerDeps
from papayapier.jobs.runs import RunDeps
from papayapier.jobs.vault import Vault, VaultDeps
from papayapier.node.allowances import GrantDeps, answer_allowances
from papayapier.node.base import (
    SLOWLY,
    SOON,
    NodeBase,
    close_base,
    follow,
    follow_common,
    make_base,
)
from papayapier.node.job_reading import answer_reads, read_here
from papayapier.node.keeping import answer_keeping, in_threads
from papayapier.node.lost_keepers import write_lost_down
from papayapier.node.orphans import answer_about_runs, seek_orphans
from papayapier.node.processes import Role
from papayapier.node.retirement import Retirement
from papayapier.node.settings import NodeSettings
from papayapier.peer.messages import CallsTold, Heartbeat, JobChanged
from papayapier.platform import headers, job_calls
from papayapier.platform.retirements import RETIREMENTS_PREFIX
from papayapier.policy.allowances import Grants
from papayapier.policy.job_keeping import NOT_ASKED, Copies
from papayapier.policy.witnesses import Witnesses
from papayapier.store.api import Change
from papayapier.store.budget import Priority
from papayapier.store.watch import report_failure

LEAVE_TICK_MS: Final = 50


class Keeper:
    """Hold a running keeper."""

    def __init__(self, base: NodeBase, runner: JobRunner, vault: Vault | None) -> None:
        self._base = base
        self._runner = runner
        self._vault = vault

    async def leave(self) -> None:
        """Hand over the jobs, write finished results, and stop."""
        base = self._base
        events.emit(events.PROCESS_LEAVING, running=self._runner.running())
        self._runner.stop()
        base.drain.leave(base.clock.now())
        base.placer.leave()
        while base.drain.tick(base.clock.now(), self._runner.unwritten()) != "stopped":
            await base.clock.sleep(LEAVE_TICK_MS)
        self._runner.close()
        if self._vault is not None:
            self._vault.close()
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
    witnesses = Witnesses()

    def sharing() -> list[str]:
        """Return the live keepers; this one is included unless it is leaving and others live."""
        others = _others_sharing(base, witnesses)
        return sorted(others if others and base.drain.state() != "serving" else {*others, me})

    desk = _reading_desk(base, lambda job_id: runner.record(job_id))
    answer_reads(base.hub, desk)

    def tell_groups(job_id: str, groups: int, written: Written | None) -> None:
        if written is not None:
            desk.on_written(job_id, written)
        else:
            desk.on_groups(job_id, groups)
        word = base.news.word(job_id, groups, clock.now())
        # In a large fleet the next heartbeats carry the notification, and readers wait at most half
        # a second for it: a broadcast for each group would be a tenth of all messages.
        if base.hub.plan().full_mesh:
            base.hub.tell_all(JobChanged(job_id, groups, word.number))

    runs = RunDeps(
        clock=clock,
        rand=rand,
        me=me,
        book=base.book,
        outliers=base.outliers,
        crashes=base.crashes,
        send=base.send,
        head=headers.for_replica,
        of_team=headers.of_team,
        body=job_calls.item_body,
        request_id=headers.REQUEST_ID,
        sharing=sharing,
        hidden=lambda: base.hub.silent() & base.nodes.with_role(Role.KEEPER),
        uses_changed=base.hub.uses_changed,
    )
    store = base.view(Priority.BULK)
    runner = JobRunner(RunnerDeps(runs, store, base.routing.table, tell_groups, base.news))
    if cfg.jobs.folder:
        await _start_progress(base, runner)
    base.hub.on_change(runner.review)
    base.hub.subscribe(Heartbeat, lambda peer, beat: witnesses.on_told(peer, beat.unheard))
    # A peer without open calls takes no slot; slots that it has freed are used in the next round.
    base.hub.subscribe(Heartbeat, lambda _peer, beat: runner.pump_soon() if beat.uses else None)
    base.hub.subscribe(CallsTold, lambda _peer, _message: runner.pump_soon())
    follow_common(base, Role.KEEPER)
    expiry = Expiry(ExpiryDeps(clock, base.view(Priority.BULK), cfg.jobs.keep_s, runner.has_closed))

    def on_job(change: Change) -> None:
        runner.on_change(change)
        expiry.on_change(change)

    follow(base, JOBS, on_job, SOON)
    sweeping = Deferred.fromCoroutine(expiry.run())
    sweeping.addErrback(report_failure, "expiry")
    base.tasks.append(sweeping)
    vault = _start_vault(base, runner) if cfg.jobs.folder else None
    retirement = Retirement(base, runner, vault)
    follow(base, RETIREMENTS_PREFIX, retirement.on_change, SLOWLY)
    runner.start()
    _grant(base)
    _write_lost_down(base)
    answer_about_runs(base.hub, runner.looks)
    seeking = Deferred.fromCoroutine(seek_orphans(base.hub, clock, runner.looks))
    seeking.addErrback(report_failure, "orphans")
    base.tasks.append(seeking)
    events.emit(events.PROCESS_STARTED, instance=me, role=Role.KEEPER.value)
    return Ok(Keeper(base, runner, vault))


def _write_lost_down(base: NodeBase) -> None:
    store, me = base.view(Priority.LEASE), base.cfg.instance.id
    writing = write_lost_down(base.hub, base.clock, base.nodes, store, me)
    task = Deferred.fromCoroutine(writing)
    task.addErrback(report_failure, "lost keepers")
    base.tasks.append(task)


def _grant(base: NodeBase) -> None:
    """Grant the allowances of the teams that fall to this keeper."""
    me, clock = base.cfg.instance.id, base.clock

    def listed() -> frozenset[str]:
        return base.nodes.with_role(Role.KEEPER)

    def team(name: str) -> Team | None:
        table = base.routing.table()
        teams = table.cfg.teams if table is not None else None
        return teams.named(name) if teams is not None else None

    answer_allowances(
        GrantDeps(
            base.hub,
            clock,
            me,
            Grants(me, base.cfg.allowance.bound(), clock.now()),
            granting=lambda: listed() & base.hub.vouched(),
            listed=listed,
            leaving=lambda: base.drain.state() != "serving",
            team=team,
        )
    )


def _others_sharing(base: NodeBase, witnesses: Witnesses) -> frozenset[str]:
    """Return the other live keepers, by the criterion that all keepers use."""
    keepers = base.nodes.with_role(Role.KEEPER) - {base.cfg.instance.id}
    if not base.hub.plan().full_mesh:
        # Only hubs are connected to all instances. An entry without a connection to a keeper does
        # not notice its loss, so its reachability reports are of no use.
        return keepers & base.hub.vouched()
    heard = frozenset(base.hub.live())
    unheard = keepers - heard
    live = keepers & heard
    if unheard:
        entries = base.nodes.with_role(Role.ENTRY) & heard
        # Unreachable from here but reachable from the entries, and not leaving.
        cut_off = unheard & base.hub.silent()
        live |= {one for one in cut_off if witnesses.heard(one, entries)}
    return live


def _reading_desk(base: NodeBase, known: Callable[[str], JobRecord | None]) -> JobDesk:
    """Build the job service that entries of a large fleet read from.

    It accepts no jobs: they are submitted at entries only.
    """

    async def keep_nothing(_job_id: str, _value: bytes) -> Copies:
        return NOT_ASKED

    heard = GroupsHeard(lambda: base.nodes.with_role(Role.KEEPER), base.hub.live)
    return JobDesk(
        DeskDeps(
            base.clock,
            base.rand,
            base.view(Priority.CLAIM),
            heard,
            keep=keep_nothing,
            store_away=lambda: base.budget.down_since() is not None,
            settled=lambda: False,
            elsewhere=read_here,
            known=known,
        )
    )


async def _start_progress(base: NodeBase, runner: JobRunner) -> None:
    """Resume from the progress file of an earlier run, and start to save progress regularly."""
    folder = base.cfg.jobs.folder
    deps = progress.SaverDeps(
        base.clock, folder, in_threads(base.reactor), runner.progress, base.crashes.snapshot
    )
    snapshot = await progress.load_soon(deps)
    runner.recall(snapshot.items)
    base.loss_news.recall(snapshot.losses)
    saving = Deferred.fromCoroutine(progress.save_regularly(deps, snapshot.number))
    saving.addErrback(report_failure, "progress")
    base.tasks.append(saving)


def _start_vault(base: NodeBase, runner: JobRunner) -> Vault:
    """Start to store jobs locally for entries, beginning with those left by an earlier run."""
    cfg = base.cfg
    vault = Vault(
        VaultDeps(
            base.clock,
            base.rand,
            base.view(Priority.CLAIM),
            cfg.jobs.folder,
            cfg.jobs.keep_s,
            cfg.store.longest_pause_ms,
            in_threads(base.reactor),
            runner.on_held,
        )
    )
    answer_keeping(base.hub, vault)
    loading = Deferred.fromCoroutine(vault.start())
    loading.addErrback(report_failure, "vault")
    base.tasks.append(loading)
    return vault
