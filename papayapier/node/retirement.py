"""Retire this machine when the operator requests it, and report when that is done.

The machine is removed as soon as it reports that. It may go once its jobs run elsewhere, its
finished results are in the store, and so are the jobs stored on its disk.
"""

from functools import partial
from typing import Final

from result import Ok

from papayapier import events
from papayapier.jobs.local_job_store import LocalJobStore
from papayapier.jobs.runner import JobRunner
from papayapier.lasting_tasks import run_always
from papayapier.node.base import NodeBase
from papayapier.platform.retirements import RETIREMENTS_PREFIX, Stage, encode_stage, status_key
from papayapier.store.api import Change
from papayapier.store.budget import Priority
from papayapier.store.watch import Backoff

CHECK_MS: Final = 100
ANY_VERSION: Final = 0


class Retirement:
    """Retire this process, at most once."""

    def __init__(self, base: NodeBase, runner: JobRunner, local_jobs: LocalJobStore | None) -> None:
        self._base = base
        self._runner = runner
        self._local_jobs = local_jobs
        self._begun = False

    def on_change(self, change: Change) -> None:
        """Apply a retirement request; requests for other machines are ignored."""
        node_id = change.key.removeprefix(RETIREMENTS_PREFIX)
        if change.deleted or node_id != self._base.cfg.instance.id or self._begun:
            return
        self._begun = True
        retire = partial(self._retire, node_id)
        self._base.tasks.append(run_always(self._base.clock, "retirement", retire))

    async def _retire(self, node_id: str) -> None:
        base = self._base
        events.emit(events.RETIRING, instance=node_id, running=self._runner.running_count())
        # Runs stop first: the shares of the replicas are then computed for the remaining keepers.
        self._runner.stop()
        if self._local_jobs is not None:
            self._local_jobs.stop_accepting()
        base.drain.leave(base.clock.now())
        await self._write_status(node_id, Stage.UNDER_WAY)
        while (
            self._runner.unwritten_count() or self._runner.running_count() or self._has_local_jobs()
        ):
            await base.clock.sleep(CHECK_MS)
        await self._write_status(node_id, Stage.DONE)
        events.emit(events.RETIRED, instance=node_id)

    def _has_local_jobs(self) -> bool:
        return self._local_jobs is not None and self._local_jobs.pending_count() > 0

    async def _write_status(self, node_id: str, stage: Stage) -> None:
        store = self._base.view(Priority.CONFIG)
        backoff = Backoff(self._base.rand)
        while True:
            done = await store.update(status_key(node_id), encode_stage(stage), ANY_VERSION)
            if isinstance(done, Ok):
                return
            await self._base.clock.sleep(backoff.next_ms())
