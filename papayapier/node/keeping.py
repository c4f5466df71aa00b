"""Put a job on keepers' disks while the store is away, and answer entries that ask for it."""

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

# A disk that is well syncs in some ms; one that hangs does so for seconds.
ASK_MS: Final = 1_000
# Larger jobs are many objects in the store, and take long to reach a disk.
LARGEST_BYTES: Final = 1_000_000


class KeepingDeps(NamedTuple):
    """Group what an entry works with.

    keepers names those that are heard, able those of them that may run a job's items.
    """

    hub: PeerHub
    keepers: Callable[[], Collection[str]]
    copies: int
    able: Callable[[JobRecord, Sequence[str]], Collection[str]]


async def keep(deps: KeepingDeps, job_id: str, value: bytes) -> Copies:
    """Ask keepers to hold a job; return as soon as enough have said that they do."""
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
    """Count the keepers that hold a job, until there are enough or all have ended."""

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
            # A keeper that did not answer may hold it all the same, and create it later.
            self.ended.callback(Copies(enough, maybe_held=True, held=self.held))


def answer_keeping(hub: PeerHub, vault: Vault) -> None:
    """Hold jobs for entries that ask."""

    def on_ask(peer_id: str, ask: KeepAsk) -> None:
        done = Deferred.fromCoroutine(vault.keep(KeptJob(ask.job_id, ask.value)))
        done.addCallback(lambda kept: hub.tell(peer_id, KeepTell(ask.ask_id, kept)))
        done.addErrback(report_failure, "keep")

    hub.subscribe(KeepAsk, on_ask)


def in_threads(reactor: Any) -> Callable[[Callable[[], Any]], Deferred[Any]]:
    """Return what runs a call that blocks in a thread of its own."""

    def run(call: Callable[[], Any]) -> Deferred[Any]:
        return deferToThreadPool(reactor, reactor.getThreadPool(), call)

    return run
