"""Find orphaned jobs: query owners whether they run their jobs, and offer stalled jobs to peers."""

from collections.abc import Sequence
from typing import Final

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.jobs.takeover import JobTakeover
from papayapier.peer.hub import PeerHub
from papayapier.peer.run_messages import RunsAsk, RunsOffer, RunsTell
from papayapier.policy.orphans import RunsReply
from papayapier.store.watch import log_failure

CHECK_INTERVAL_MS: Final = 500
# A live owner answers within a few ms; an owner that is busy for longer gets a second request.
ANSWER_MS: Final = 400


def serve_run_requests(hub: PeerHub, job_checks: JobTakeover) -> None:
    """Answer peers which jobs this instance runs, and claim one of the jobs that they offer."""

    def on_request(peer_id: str, request: RunsAsk) -> None:
        status = job_checks.on_check_request(peer_id, request.job_ids, request.adopted)
        hub.send(
            peer_id, RunsTell(request.correlation_id, tuple(status.runs), tuple(status.finished))
        )

    def on_offer(peer_id: str, offer: RunsOffer) -> None:
        job_id = job_checks.choose_offered(offer.job_ids)
        if job_id is not None:
            task = Deferred.fromCoroutine(_claim(hub, job_checks, peer_id, job_id))
            task.addErrback(log_failure, "offered jobs")

    hub.subscribe(RunsAsk, on_request)
    hub.subscribe(RunsOffer, on_offer)


async def recover_orphans(hub: PeerHub, clock: Clock, job_checks: JobTakeover) -> None:
    """Check periodically for jobs that nobody runs, for as long as this instance runs."""
    while True:
        await clock.sleep(CHECK_INTERVAL_MS)
        for owner, job_ids in job_checks.due_checks().items():
            task = Deferred.fromCoroutine(_check_owner(hub, job_checks, owner, tuple(job_ids)))
            task.addErrback(log_failure, "orphans")
        for peer_id, job_ids in job_checks.due_offers().items():
            hub.send(peer_id, RunsOffer(tuple(job_ids)))


async def _check_owner(
    hub: PeerHub, job_checks: JobTakeover, owner: str, job_ids: Sequence[str]
) -> None:
    answer = await _request_runs(hub, owner, job_ids, job_checks.taken_over(job_ids))
    job_checks.on_check_reply(owner, job_ids, answer)


async def _claim(hub: PeerHub, job_checks: JobTakeover, owner: str, job_id: str) -> None:
    answer = await _request_runs(hub, owner, (job_id,), (job_id,))
    if answer is not None:
        job_checks.on_claim_reply(owner, job_id, answer)


async def _request_runs(
    hub: PeerHub, owner: str, job_ids: Sequence[str], taken: Sequence[str]
) -> RunsReply | None:
    """Return an owner's answer about jobs, or None if it does not answer in time."""
    reply = await hub.send_request(
        owner,
        lambda correlation_id: RunsAsk(correlation_id, tuple(job_ids), tuple(taken)),
        ANSWER_MS,
    )
    if not isinstance(reply, Ok) or not isinstance(reply.ok_value, RunsTell):
        return None
    return RunsReply(frozenset(reply.ok_value.running), frozenset(reply.ok_value.finished))
