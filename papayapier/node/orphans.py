"""Ask the owners of jobs whether they run them, and answer those who ask."""

from collections.abc import Sequence
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.jobs.runner import JobRunner
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import RunsAsk, RunsTell
from papayapier.policy.orphans import Answered
from papayapier.store.watch import report_failure

LOOK_MS: Final = 500
# An owner that lives answers within some ms; one that is busy for longer is asked once more.
ANSWER_MS: Final = 400


def answer_about_runs(hub: PeerHub, runner: JobRunner) -> None:
    """Tell peers which jobs this instance runs."""

    def on_ask(peer_id: str, ask: RunsAsk) -> None:
        said = runner.runs_of(ask.job_ids)
        hub.tell(peer_id, RunsTell(ask.ask_id, tuple(said.runs), tuple(said.over)))

    hub.subscribe(RunsAsk, on_ask)


async def seek_orphans(hub: PeerHub, clock: Clock, runner: JobRunner) -> None:
    """Look for jobs that nobody runs, for as long as this instance lives."""
    while True:
        await clock.sleep(LOOK_MS)
        for owner, job_ids in runner.orphan_asks().items():
            task = Deferred.fromCoroutine(_ask(hub, runner, owner, tuple(job_ids)))
            task.addErrback(report_failure, "orphans")


async def _ask(hub: PeerHub, runner: JobRunner, owner: str, job_ids: Sequence[str]) -> None:
    told = await hub.ask(owner, lambda ask_id: RunsAsk(ask_id, tuple(job_ids)), ANSWER_MS)
    if isinstance(told, Ok) and isinstance(told.ok_value, RunsTell):
        tell = told.ok_value
        runner.on_owner_said(owner, job_ids, Answered(frozenset(tell.runs), frozenset(tell.over)))
    else:
        runner.on_owner_said(owner, job_ids, None)
