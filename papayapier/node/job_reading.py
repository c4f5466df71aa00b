"""Read a job's results through the keeper that owns it, in a large fleet.

Motivation: callers read each job twice a second, and each read may arrive at another entry. An
entry that has not read the job before fetches its record and lists its groups, twice in a read that
waits: of 2,340 calls to the store in 32 s with 37 jobs, 2,150 came from such reads. A single keeper
that gets all reads of a job polls the store once in 0.7 s, and its own groups wake waiting readers.

Correctness does not depend on which keeper gets the request: each keeper that answers has read the
store as recently as the entry itself would have to. An entry that gets no answer reads the store
itself.
"""

from collections.abc import Awaitable, Callable, Collection
from typing import Final

from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.jobs.job_service import JobService, ResultsPage
from papayapier.jobs.records import ItemOutcome, ItemResult, utf8_size
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import ResultItem, ResultsAsk, ResultsTell
from papayapier.policy.rendezvous import score
from papayapier.store.watch import log_failure

# Beyond the requested wait: a round trip to the keeper and one read of the store.
ANSWER_MS: Final = 300
# A keeper that did not answer gets no reads for this long; heartbeats detect its loss by then.
SKIP_SILENT_MS: Final = 2_000
# Size of the texts in one reply, far below the maximum frame; callers read again for more.
MAX_ANSWER_BYTES: Final = 500_000

Read = Callable[[str, int, int, str], Awaitable[ResultsPage | None]]


def make_job_reader(hub: PeerHub, clock: Clock, keepers: Callable[[], Collection[str]]) -> Read:
    """Return the function that reads results through a live keeper; it returns None on failure."""
    skipped_until: dict[str, int] = {}

    async def read(job_id: str, after: int, wait_ms: int, team: str) -> ResultsPage | None:
        if hub.plan().full_mesh:
            return None
        now = clock.now()
        candidates = [name for name in keepers() if skipped_until.get(name, 0) <= now]
        if not candidates:
            return None
        keeper = max(candidates, key=lambda name: score(job_id, name))
        reply = await hub.send_request(
            keeper,
            lambda correlation_id: ResultsAsk(correlation_id, job_id, after, wait_ms, team),
            wait_ms + ANSWER_MS,
        )
        if isinstance(reply, Err):
            skipped_until[keeper] = clock.now() + SKIP_SILENT_MS
            return None
        results_reply = reply.ok_value
        if not isinstance(results_reply, ResultsTell) or not results_reply.job_known:
            return None
        results = [
            ItemResult(result.id, ItemOutcome(result.outcome), result.text)
            for result in results_reply.results
        ]
        return ResultsPage(results_reply.total, results)

    return read


async def read_from_store(
    _job_id: str, _after: int, _wait_ms: int, _team: str
) -> ResultsPage | None:
    """Return None, so that results are read from the store directly."""
    return None


def serve_reads(hub: PeerHub, job_service: JobService) -> None:
    """Answer entries that request results; a failed read is reported as unknown."""

    async def answer(peer_id: str, request: ResultsAsk) -> None:
        page = await job_service.results(
            request.job_id, request.after, request.wait_ms, request.team
        )
        if isinstance(page, Ok):
            total, results = page.ok_value
            hub.send(
                peer_id, ResultsTell(request.correlation_id, True, total, _first_results(results))
            )
        else:
            hub.send(peer_id, ResultsTell(request.correlation_id, False))

    def on_request(peer_id: str, request: ResultsAsk) -> None:
        done = Deferred.fromCoroutine(answer(peer_id, request))
        done.addErrback(log_failure, "job reading")

    hub.subscribe(ResultsAsk, on_request)


def _first_results(results: list[ItemResult]) -> tuple[ResultItem, ...]:
    page: list[ResultItem] = []
    size = 0
    for result in results:
        size += utf8_size(result.text)
        if page and size > MAX_ANSWER_BYTES:
            break
        page.append(ResultItem(result.id, result.end.value, result.text))
    return tuple(page)
