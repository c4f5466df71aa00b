"""Play the job runners of several keepers on one fake clock, with one store and few replicas.

Everybody hears of everybody's open calls at once, so that only decisions are played.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Final, cast

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.jobs.news import GroupsTold
from papayapier.jobs.records import encode, group_key, job_key, read_group
from papayapier.jobs.runner import JobRunner, RunnerDeps
from papayapier.jobs.runs import RunDeps
from papayapier.metrics import make_metrics
from papayapier.node.orphans import recover_orphans, serve_run_requests
from papayapier.peer import wire
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import Message
from papayapier.peer.questions import PeerError
from papayapier.peer.run_messages import RunsTell
from papayapier.policy.loads import LoadBook, ReplicaUse
from papayapier.policy.outliers import Outliers
from papayapier.store.api import Change
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.raw import Answered, PassedOn, RawCall
from tests.jobs_run_world import EVENTS, RouteTo
from tests.jobs_world import MemoryStore, record

SLOTS: Final = 8
RUN_MS: Final = 2_000
STEP_MS: Final = 10
# A job's results are due in this time on every deployment.
DUE_MS: Final = 18_000


class _Route(RouteTo):
    due_ms = DUE_MS
    give_up_ms = 60_000


class _Table:
    def find(self, _host: str, path: str) -> Any:
        return _Route(path.rpartition("/")[2])


def names(rand: random.Random, prefix: str, count: int) -> list[str]:
    """Draw the names of so many instances."""
    return [f"{prefix}-{rand.getrandbits(48):012x}" for _ in range(count)]


class OneHub:
    """Stand for the peer hub of one keeper; messages arrive at once, as they are on the wire."""

    def __init__(self, world: "KeepersWorld", name: str) -> None:
        self._world = world
        self._name = name
        self._handlers: dict[type[Message], Callable[[str, Any], object]] = {}
        self._asked: dict[int, Deferred[Result[Message, PeerError]]] = {}
        self._last = 0

    def subscribe(self, kind: type[Message], handler: Callable[[str, Any], object]) -> None:
        self._handlers[kind] = handler

    def tell(self, peer_id: str, message: Message) -> bool:
        peer = self._world.keepers.get(peer_id)
        if peer is not None:
            peer.hub.take(wire.encode(self._name, message))
        return peer is not None

    def take(self, data: bytes) -> None:
        """Take a frame of another keeper."""
        sender, message = wire.decode(data).unwrap()
        if isinstance(message, RunsTell):
            self._asked.pop(message.ask_id).callback(Ok(message))
        else:
            self._handlers[type(message)](sender, message)

    async def ask(
        self, peer_id: str, make_ask: Callable[[int], Message], _timeout_ms: int
    ) -> Result[Message, PeerError]:
        self._last += 1
        answered = self._asked[self._last] = Deferred[Result[Message, PeerError]]()
        if not self.tell(peer_id, make_ask(self._last)):
            return Err(PeerError.TIMEOUT)
        return await answered


class OneKeeper:
    """Hold what one keeper knows, and its runner."""

    def __init__(self, world: "KeepersWorld", name: str) -> None:
        self.name = name
        self.hub = OneHub(world, name)
        self._clock = world.time.clock
        self.book = LoadBook()
        self.outliers = Outliers()
        crashes = CrashWatch(world.time.clock, make_metrics(), lambda: True)
        deps = RunDeps(
            clock=world.time.clock,
            rand=random.Random(name),
            me=name,
            book=self.book,
            outliers=self.outliers,
            crashes=crashes,
            send=partial(world.send, name),
            head=lambda headers, _replica, _left, _last: headers,
            of_team=lambda headers, _team: headers,
            body=lambda _item: b"",
            request_id=b"X-Request-Id",
            sharing=lambda: world.live,
            hidden=lambda: (),
            uses_changed=partial(world.on_uses, name),
        )
        table = cast(Any, _Table())
        self.runner = JobRunner(
            RunnerDeps(
                deps, world.memory.store(), lambda: table, lambda _j, _g, _w: None, GroupsTold()
            )
        )

    def start(self) -> None:
        """Begin to run, and to look after the others' jobs."""
        self.runner.start()
        hub = cast(PeerHub, self.hub)
        serve_run_requests(hub, self.runner.looks)
        self._seeking = Deferred.fromCoroutine(recover_orphans(hub, self._clock, self.runner.looks))

    def close(self) -> None:
        """End without a word."""
        self.runner.close()
        self._seeking.addErrback(lambda _cancelled: None)
        self._seeking.cancel()


class KeepersWorld:
    """Hold the keepers, the store, and which replicas are listed, dark or cut off from whom."""

    def __init__(
        self, keepers: Sequence[str], replicas: Sequence[str], upstream: str = "j"
    ) -> None:
        self.time = fake_clock()
        self.memory = MemoryStore()
        self.live = sorted(keepers)
        self.upstream = upstream
        self.listed: list[str] = []
        # Replicas that accept nothing, and pairs of keeper and replica without a way.
        self.dark: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        # How often each item was run to its end.
        self.runs: Counter[str] = Counter()
        self.started: Counter[str] = Counter()
        self.jobs: dict[str, int] = {}
        self.keepers = {name: OneKeeper(self, name) for name in self.live}
        self.list_replicas(replicas)
        for one in self.keepers.values():
            one.start()

    def list_replicas(self, replicas: Sequence[str]) -> None:
        """Show a list of replicas to every keeper."""
        self.listed = list(replicas)
        listed = [Replica(name, self.upstream, "h", 1, "dc") for name in replicas]
        for one in self.keepers.values():
            one.book.on_listed(listed, (), dict.fromkeys(replicas, SLOTS))
            one.outliers.on_listed(listed)

    def fill(self, replica: str, online: int) -> None:
        """Let every keeper hear of online calls at a replica."""
        now = self.time.clock.now()
        for one in self.keepers.values():
            one.book.on_peer_uses(f"entry-{replica}", [ReplicaUse(replica, online, 0)], now)

    def lose(self, name: str) -> None:
        """End a keeper without a word."""
        self.live = [one for one in self.live if one != name]
        self.keepers.pop(name).close()
        for one in self.keepers.values():
            one.book.on_peer_gone(name)
            one.runner.review()

    def submit(self, job_id: str, items: int) -> None:
        """Accept a job and show its record to every keeper."""
        self.jobs[job_id] = items
        made = record(*(f"{job_id}-{n}" for n in range(items)))
        made = made._replace(accepted_ms=int(self.time.clock.wall()), path=f"/jobs/{self.upstream}")
        version = self.memory.put(job_key(job_id), encode(made))
        for one in self.keepers.values():
            one.runner.on_change(Change(job_key(job_id), version, False, encode(made)))

    def run(self, ms: int) -> None:
        """Let time pass."""
        for _ in range(0, ms, STEP_MS):
            self.time.elapse(STEP_MS)

    def listed_items(self, job_id: str) -> int:
        """Return how many items of a job are listed."""
        count = number = 0
        while group_key(job_id, number) in self.memory.objects:
            read = read_group(self.memory.objects[group_key(job_id, number)][1]).unwrap()
            count += len(read.results)
            number += 1
        return count

    def undone(self) -> dict[str, int]:
        """Return how many items each job still lacks."""
        left = {job_id: items - self.listed_items(job_id) for job_id, items in self.jobs.items()}
        return {job_id: items for job_id, items in left.items() if items}

    def on_uses(self, name: str) -> None:
        """Tell the others of a keeper's open calls."""
        uses = self.keepers[name].book.uses() if name in self.keepers else ()
        for one in self.keepers.values():
            if one.name != name:
                one.book.on_peer_uses(name, uses, self.time.clock.now())

    async def send(
        self, name: str, replica: Replica, call: RawCall, taker: Any
    ) -> Result[Answered, Failure]:
        """Run an item at a replica."""
        dark = replica.id in self.dark or replica.id not in self.listed
        if dark or (name, replica.id) in self.cut:
            return Err(Failure(FailureKind.CONNECT, Sent.NO, "refused", fresh=True))
        self.started[call.request_id] += 1
        await self.time.clock.sleep(RUN_MS)
        if replica.id in self.dark or replica.id not in self.listed:
            return Err(Failure(FailureKind.CUT, Sent.MAYBE, "reset", fresh=True))
        taker._one.texts = ["x"] * EVENTS
        self.runs[call.request_id] += 1
        return Ok(PassedOn(200))
