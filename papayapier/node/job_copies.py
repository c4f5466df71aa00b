"""Store copies of a job on keepers' disks while the store is unreachable.

Entries send the requests, and keepers answer them.
"""

from collections.abc import Callable, Collection, Sequence
from typing import Any, Final, NamedTuple

from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from papayapier.jobs.job_files import LocalJob
from papayapier.jobs.local_job_store import LocalJobStore
from papayapier.jobs.records import JobRecord, read_record
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import KeepAsk, KeepTell
from papayapier.policy.job_copies import NOT_REQUESTED, Copies, holders
from papayapier.store.watch import log_failure

# A healthy disk syncs in a few ms; a hanging disk blocks for seconds.
REQUEST_TIMEOUT_MS: Final = 1_000
# Larger jobs span many objects in the store and take long to write to a disk.
MAX_JOB_BYTES: Final = 1_000_000


class JobCopiesDeps(NamedTuple):
    """Hold the dependencies of an entry.

    keepers returns the reachable keepers, able_keepers those of them that can run a job's items.
    copies is the number of disks that must store a job.
    """

    hub: PeerHub
    keepers: Callable[[], Collection[str]]
    copies: int
    able_keepers: Callable[[JobRecord, Sequence[str]], Collection[str]]


async def replicate(deps: JobCopiesDeps, job_id: str, value: bytes) -> Copies:
    """Request keepers to store a job; return as soon as enough of them have confirmed it."""
    if len(value) > MAX_JOB_BYTES:
        return NOT_REQUESTED
    keepers = sorted(deps.keepers())
    able_keepers = (
        read_record(value).map(lambda record: deps.able_keepers(record, keepers)).unwrap_or(())
    )
    chosen = holders(job_id, keepers, deps.copies, able_keepers)
    if not chosen:
        return NOT_REQUESTED
    counter = _CopyCounter(deps.copies, len(chosen))
    for keeper in chosen:
        task = Deferred.fromCoroutine(_request_copy(deps.hub, keeper, job_id, value))
        task.addBoth(counter.on_outcome)
    return await counter.done


async def _request_copy(hub: PeerHub, keeper: str, job_id: str, value: bytes) -> bool:
    reply = await hub.send_request(
        keeper, lambda correlation_id: KeepAsk(correlation_id, job_id, value), REQUEST_TIMEOUT_MS
    )
    return isinstance(reply, Ok) and isinstance(reply.ok_value, KeepTell) and reply.ok_value.stored


class _CopyCounter:
    """Count the keepers that have stored a job, until enough have or all requests are finished."""

    def __init__(self, needed: int, requested: int) -> None:
        self.stored = 0
        self.done: Deferred[Copies] = Deferred()
        self._needed = needed
        self._pending = requested

    def on_outcome(self, outcome: "bool | Failure") -> None:
        self._pending -= 1
        if isinstance(outcome, Failure):
            log_failure(outcome, "keep")
        elif outcome:
            self.stored += 1
        enough = self.stored >= self._needed
        if not self.done.called and (enough or not self._pending):
            # A keeper that did not answer may still have stored the job, and create it later.
            self.done.callback(Copies(enough, maybe_held=True, held=self.stored))


def serve_copies(hub: PeerHub, local_jobs: LocalJobStore) -> None:
    """Answer entries that request to store a job on this keeper's disk."""

    def on_request(peer_id: str, request: KeepAsk) -> None:
        done = Deferred.fromCoroutine(local_jobs.store(LocalJob(request.job_id, request.value)))
        done.addCallback(lambda stored: hub.send(peer_id, KeepTell(request.correlation_id, stored)))
        done.addErrback(log_failure, "keep")

    hub.subscribe(KeepAsk, on_request)


def run_in_threads(reactor: Any) -> Callable[[Callable[[], Any]], Deferred[Any]]:
    """Return a function that runs a blocking call in the reactor's thread pool."""

    def run(call: Callable[[], Any]) -> Deferred[Any]:
        return deferToThreadPool(reactor, reactor.getThreadPool(), call)

    return run
