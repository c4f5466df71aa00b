"""Ask the owners of jobs whether they run them, and answer those who ask."""

from collections.abc import Sequence
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.jobs.looks import JobLooks
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import RunsAsk, RunsTell
from papayapier.policy.orphans import Answered
from papayapier.store.watch import report_failure

LOOK_MS: Final = 500
# An owner that lives answers within some ms; one that is busy for longer is asked once more.
ANSWER_MS: Final = 400


def answer_about_runs(hub: PeerHub, looks: JobLooks) -> None:
    """Tell peers which jobs this instance runs."""

    def on_ask(peer_id: str, ask: RunsAsk) -> None:
        said = looks.on_asked(peer_id, ask.job_ids, ask.taken)
        tell = RunsTell(ask.ask_id, tuple(said.runs), tuple(said.over), tuple(said.stalled))
        hub.tell(peer_id, tell)

    hub.subscribe(RunsAsk, on_ask)


async def seek_orphans(hub: PeerHub, clock: Clock, looks: JobLooks) -> None:
    """Look for jobs that nobody runs, for as long as this instance lives."""
    while True:
        await clock.sleep(LOOK_MS)
        for owner, job_ids in looks.asks().items():
            task = Deferred.fromCoroutine(_ask(hub, looks, owner, tuple(job_ids)))
            task.addErrback(report_failure, "orphans")


async def _ask(hub: PeerHub, looks: JobLooks, owner: str, job_ids: Sequence[str]) -> None:
    taken = tuple(looks.taken_of(job_ids))
    told = await hub.ask(owner, lambda ask_id: RunsAsk(ask_id, tuple(job_ids), taken), ANSWER_MS)
    if isinstance(told, Ok) and isinstance(told.ok_value, RunsTell):
        tell = told.ok_value
        answer = Answered(frozenset(tell.runs), frozenset(tell.over), frozenset(tell.stalled))
        looks.on_said(owner, job_ids, answer)
    else:
        looks.on_said(owner, job_ids, None)
