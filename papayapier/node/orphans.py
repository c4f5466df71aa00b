"""Find orphaned jobs: ask owners whether they run their jobs, and offer stalled jobs to peers."""

from collections.abc import Sequence
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.jobs.looks import JobLooks
from papayapier.peer.hub import PeerHub
from papayapier.peer.run_messages import RunsAsk, RunsOffer, RunsTell
from papayapier.policy.orphans import Answered
from papayapier.store.watch import report_failure

LOOK_MS: Final = 500
# A live owner answers within a few ms; an owner that is busy for longer gets a second request.
ANSWER_MS: Final = 400


def answer_about_runs(hub: PeerHub, looks: JobLooks) -> None:
    """Answer peers which jobs this instance runs, and claim one of the jobs that they offer."""

    def on_ask(peer_id: str, ask: RunsAsk) -> None:
        said = looks.on_asked(peer_id, ask.job_ids, ask.taken)
        hub.tell(peer_id, RunsTell(ask.ask_id, tuple(said.runs), tuple(said.over)))

    def on_offer(peer_id: str, offer: RunsOffer) -> None:
        job_id = looks.wanted_of(offer.job_ids)
        if job_id is not None:
            task = Deferred.fromCoroutine(_claim(hub, looks, peer_id, job_id))
            task.addErrback(report_failure, "offered jobs")

    hub.subscribe(RunsAsk, on_ask)
    hub.subscribe(RunsOffer, on_offer)


async def seek_orphans(hub: PeerHub, clock: Clock, looks: JobLooks) -> None:
    """Check periodically for jobs that nobody runs, for as long as this instance runs."""
    while True:
        await clock.sleep(LOOK_MS)
        for owner, job_ids in looks.asks().items():
            task = Deferred.fromCoroutine(_ask(hub, looks, owner, tuple(job_ids)))
            task.addErrback(report_failure, "orphans")
        for peer_id, job_ids in looks.offers().items():
            hub.tell(peer_id, RunsOffer(tuple(job_ids)))


async def _ask(hub: PeerHub, looks: JobLooks, owner: str, job_ids: Sequence[str]) -> None:
    answer = await _answer(hub, owner, job_ids, looks.taken_of(job_ids))
    looks.on_said(owner, job_ids, answer)


async def _claim(hub: PeerHub, looks: JobLooks, owner: str, job_id: str) -> None:
    answer = await _answer(hub, owner, (job_id,), (job_id,))
    if answer is not None:
        looks.on_claimed(owner, job_id, answer)


async def _answer(
    hub: PeerHub, owner: str, job_ids: Sequence[str], taken: Sequence[str]
) -> Answered | None:
    """Return an owner's answer about jobs, or None if it does not answer in time."""
    told = await hub.ask(
        owner, lambda ask_id: RunsAsk(ask_id, tuple(job_ids), tuple(taken)), ANSWER_MS
    )
    if not isinstance(told, Ok) or not isinstance(told.ok_value, RunsTell):
        return None
    return Answered(frozenset(told.ok_value.runs), frozenset(told.ok_value.over))
