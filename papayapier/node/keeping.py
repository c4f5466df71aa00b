"""Store copies of a job on keepers' disks while the store is unreachable.

Entries request the copies with keep(); keepers answer these requests.
"""

from collections.abc import Callable, Collection, Sequence
from typing import Any, Final, NamedTuple

from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThreadPool
from twisted.python.failure import Failure

from papayapier.jobs.kept_files import KeptJob
from papayapier.jobs.records import JobRecord, read_record
from papayapier.jobs.vault import Vault
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import KeepAsk, KeepTell
from papayapier.policy.job_keeping import NOT_ASKED, Copies, holders
from papayapier.store.watch import report_failure

# A healthy disk syncs in a few ms; a hanging disk blocks for seconds.
ASK_MS: Final = 1_000
# Larger jobs span many objects in the store and take long to write to a disk.
LARGEST_BYTES: Final = 1_000_000


class KeepingDeps(NamedTuple):
    """Hold the dependencies of an entry.

    keepers returns the reachable keepers, able those of them that can run a job's items. copies is
    the number of disks that must store a job.
    """

    hub: PeerHub
    keepers: Callable[[], Collection[str]]
    copies: int
    able: Callable[[JobRecord, Sequence[str]], Collection[str]]


async def keep(deps: KeepingDeps, job_id: str, value: bytes) -> Copies:
    """Request keepers to store a job; return as soon as enough of them have confirmed it."""
    if len(value) > LARGEST_BYTES:
        return NOT_ASKED
    keepers = sorted(deps.keepers())
    able = read_record(value).map(lambda record: deps.able(record, keepers)).unwrap_or(())
    asked = holders(job_id, keepers, deps.copies, able)
    if not asked:
        return NOT_ASKED
    count = _Count(deps.copies, len(asked))
    for keeper in asked:
        task = Deferred.fromCoroutine(_ask(deps.hub, keeper, job_id, value))
        task.addBoth(count.on_end)
    return await count.ended


async def _ask(hub: PeerHub, keeper: str, job_id: str, value: bytes) -> bool:
    told = await hub.ask(keeper, lambda ask_id: KeepAsk(ask_id, job_id, value), ASK_MS)
    return isinstance(told, Ok) and isinstance(told.ok_value, KeepTell) and told.ok_value.kept


class _Count:
    """Count the keepers that have stored a job, until enough have or all requests are finished."""

    def __init__(self, needed: int, asked: int) -> None:
        self.held = 0
        self.ended: Deferred[Copies] = Deferred()
        self._needed = needed
        self._open = asked

    def on_end(self, end: "bool | Failure") -> None:
        self._open -= 1
        if isinstance(end, Failure):
            report_failure(end, "keep")
        elif end:
            self.held += 1
        enough = self.held >= self._needed
        if not self.ended.called and (enough or not self._open):
            # A keeper that did not answer may still have stored the job, and create it later.
            self.ended.callback(Copies(enough, maybe_held=True, held=self.held))


def answer_keeping(hub: PeerHub, vault: Vault) -> None:
    """Answer entries that request to store a job on this keeper's disk."""

    def on_ask(peer_id: str, ask: KeepAsk) -> None:
        done = Deferred.fromCoroutine(vault.keep(KeptJob(ask.job_id, ask.value)))
        done.addCallback(lambda kept: hub.tell(peer_id, KeepTell(ask.ask_id, kept)))
        done.addErrback(report_failure, "keep")

    hub.subscribe(KeepAsk, on_ask)


def in_threads(reactor: Any) -> Callable[[Callable[[], Any]], Deferred[Any]]:
    """Return a function that runs a blocking call in the reactor's thread pool."""

    def run(call: Callable[[], Any]) -> Deferred[Any]:
        return deferToThreadPool(reactor, reactor.getThreadPool(), call)

    return run
