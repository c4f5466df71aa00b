"""Read a job's results through the keeper that owns it, in a large fleet.

Motivation: callers read each job twice a second, and each read may arrive at another entry. An
entry that has not read the job before fetches its record and lists its groups, twice in a read that
waits: of 2,340 calls to the store in 32 s with 37 jobs, 2,150 came from such reads. A single keeper
that gets all reads of a job polls the store once in 0.7 s, and its own groups wake waiting readers.

Correctness does not depend on which keeper is asked: each keeper that answers has read the store as
recently as the entry itself would have to. An entry that gets no answer reads the store itself.
"""

from collections.abc import Awaitable, Callable, Collection
from typing import Final

from result import Err, Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.jobs.desk import JobDesk, Page
from papayapier.jobs.records import ItemEnd, ItemResult
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import ResultsAsk, ResultsTell, ResultTold
from papayapier.policy.rendezvous import score
from papayapier.store.watch import report_failure

# Beyond the requested wait: a round trip to the keeper and one read of the store.
ANSWER_MS: Final = 300
# A keeper that did not answer gets no reads for this long; heartbeats detect its loss by then.
PASSED_OVER_MS: Final = 2_000
# Total length of the texts in one reply, far below the maximum frame; callers read again for more.
ANSWER_CHARS: Final = 500_000

Read = Callable[[str, int, int, str], Awaitable[Page | None]]


def reading(hub: PeerHub, clock: Clock, keepers: Callable[[], Collection[str]]) -> Read:
    """Return the function that reads results through a live keeper; it returns None on failure."""
    passed_over: dict[str, int] = {}

    async def read(job_id: str, after: int, wait_ms: int, team: str) -> Page | None:
        if hub.plan().full_mesh:
            return None
        now = clock.now()
        asked = [one for one in keepers() if passed_over.get(one, 0) <= now]
        if not asked:
            return None
        keeper = max(asked, key=lambda one: score(job_id, one))
        told = await hub.ask(
            keeper,
            lambda ask_id: ResultsAsk(ask_id, job_id, after, wait_ms, team),
            wait_ms + ANSWER_MS,
        )
        if isinstance(told, Err):
            passed_over[keeper] = clock.now() + PASSED_OVER_MS
            return None
        tell = told.ok_value
        if not isinstance(tell, ResultsTell) or not tell.known:
            return None
        results = [ItemResult(one.id, ItemEnd(one.end), one.text) for one in tell.results]
        return Page(tell.total, results)

    return read


async def read_here(_job_id: str, _after: int, _wait_ms: int, _team: str) -> Page | None:
    """Return None, so that results are read from the store directly."""
    return None


def answer_reads(hub: PeerHub, desk: JobDesk) -> None:
    """Answer entries that request results; a failed read is reported as unknown."""

    async def answer(peer_id: str, ask: ResultsAsk) -> None:
        page = await desk.results(ask.job_id, ask.after, ask.wait_ms, ask.team)
        if isinstance(page, Ok):
            total, results = page.ok_value
            hub.tell(peer_id, ResultsTell(ask.ask_id, True, total, _told(results)))
        else:
            hub.tell(peer_id, ResultsTell(ask.ask_id, False))

    def on_ask(peer_id: str, ask: ResultsAsk) -> None:
        done = Deferred.fromCoroutine(answer(peer_id, ask))
        done.addErrback(report_failure, "job reading")

    hub.subscribe(ResultsAsk, on_ask)


def _told(results: list[ItemResult]) -> tuple[ResultTold, ...]:
    told: list[ResultTold] = []
    chars = 0
    for one in results:
        chars += len(one.text)
        if told and chars > ANSWER_CHARS:
            break
        told.append(ResultTold(one.id, one.end.value, one.text))
    return tuple(told)
