"""Run the job runners of several keepers on one fake clock, with one store and few replicas.

All keepers receive each other's open calls at once, so that only decisions are simulated.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any, Final, cast

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.config.route_table import NO_POSITION
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.jobs.notifications import SentNotifications
from papayapier.jobs.records import encode, group_key, job_key, read_group
from papayapier.jobs.runner import JobRunner, RunnerDeps
from papayapier.jobs.runs import RunDeps
from papayapier.metrics import make_metrics
from papayapier.node.orphans import recover_orphans, serve_run_requests
from papayapier.peer import wire
from papayapier.peer.hub import PeerHub
from papayapier.peer.messages import Message
from papayapier.peer.open_requests import PeerError
from papayapier.peer.run_messages import RunsTell
from papayapier.platform.headers import shared_parts
from papayapier.policy.loads import LoadTracker, ReplicaUse
from papayapier.policy.outliers import OutlierDetector
from papayapier.store.api import Change
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.forward_call import ForwardCall, ForwardedAnswer, StreamedAnswer
from tests.jobs_run_world import EVENTS, RouteTo
from tests.jobs_world import BOUND, MemoryStore, record

SLOTS: Final = 8
RUN_MS: Final = 2_000
STEP_MS: Final = 10
# Due time of a job's results on every deployment.
DUE_MS: Final = 18_000


class _Route(RouteTo):
    due_ms = DUE_MS
    give_up_ms = 60_000


class _Table:
    position = NO_POSITION

    def find(self, _host: str, path: str) -> Any:
        return _Route(path.rpartition("/")[2])


def instance_names(rand: random.Random, prefix: str, count: int) -> list[str]:
    """Draw random names for a number of instances."""
    return [f"{prefix}-{rand.getrandbits(48):012x}" for _ in range(count)]


async def routes_are_current() -> bool:
    """Stand in for a read of the configuration that found none newer."""
    return True


class FakeHub:
    """Fake the peer hub of one keeper; messages are encoded and arrive immediately."""

    def __init__(self, world: "KeepersWorld", name: str) -> None:
        self._world = world
        self._name = name
        self._handlers: dict[type[Message], Callable[[str, Any], object]] = {}
        self._requests: dict[int, Deferred[Result[Message, PeerError]]] = {}
        self._last_id = 0

    def subscribe(self, kind: type[Message], handler: Callable[[str, Any], object]) -> None:
        self._handlers[kind] = handler

    def send(self, peer_id: str, message: Message) -> bool:
        peer = self._world.keepers.get(peer_id)
        if peer is not None:
            peer.hub.receive(wire.encode(self._name, message))
        return peer is not None

    def receive(self, data: bytes) -> None:
        """Process a frame of another keeper."""
        sender, message = wire.decode(data).unwrap()
        if isinstance(message, RunsTell):
            self._requests.pop(message.correlation_id).callback(Ok(message))
        else:
            self._handlers[type(message)](sender, message)

    async def send_request(
        self, peer_id: str, make_ask: Callable[[int], Message], _timeout_ms: int
    ) -> Result[Message, PeerError]:
        self._last_id += 1
        answered = self._requests[self._last_id] = Deferred[Result[Message, PeerError]]()
        if not self.send(peer_id, make_ask(self._last_id)):
            return Err(PeerError.TIMEOUT)
        return await answered


class SimulatedKeeper:
    """Hold the state of one keeper and its runner."""

    def __init__(self, world: "KeepersWorld", name: str) -> None:
        self.name = name
        self.hub = FakeHub(world, name)
        self._clock = world.time.clock
        self.load_tracker = LoadTracker()
        self.outliers = OutlierDetector()
        crashes = CrashWatch(world.time.clock, make_metrics(), lambda: True)
        deps = RunDeps(
            clock=world.time.clock,
            rand=random.Random(name),
            instance_id=name,
            load_tracker=self.load_tracker,
            outliers=self.outliers,
            crashes=crashes,
            send=partial(world.send, name),
            make_headers=lambda headers, _replica, _left, _last: headers,
            with_team=lambda headers, _team: headers,
            decode_body=lambda _item: b"",
            shared_parts=shared_parts,
            request_id=b"X-Request-Id",
            sharing=lambda: world.live,
            unreachable=lambda: (),
            on_uses_changed=partial(world.on_uses, name),
        )
        table = cast(Any, _Table())
        self.runner = JobRunner(
            RunnerDeps(
                deps,
                world.memory.store(),
                BOUND,
                lambda: table,
                routes_are_current,
                lambda _j, _g, _w: None,
                SentNotifications(),
            )
        )

    def start(self) -> None:
        """Start to run jobs and to check for orphaned jobs of others."""
        self.runner.start()
        hub = cast(PeerHub, self.hub)
        serve_run_requests(hub, self.runner.takeover)
        self._orphan_search = Deferred.fromCoroutine(
            recover_orphans(hub, self._clock, self.runner.takeover)
        )

    def close(self) -> None:
        """Crash."""
        self.runner.close()
        self._orphan_search.addErrback(lambda _cancelled: None)
        self._orphan_search.cancel()


class KeepersWorld:
    """Hold the keepers, the store, and which replicas are listed, unresponsive or disconnected."""

    def __init__(
        self, keepers: Sequence[str], replicas: Sequence[str], upstream: str = "j"
    ) -> None:
        self.time = fake_clock()
        self.memory = MemoryStore()
        self.live = sorted(keepers)
        self.upstream = upstream
        self.listed: list[str] = []
        # Replicas that accept no connections, and pairs of keeper and replica without a connection.
        self.unresponsive: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        # How often each item was run to completion.
        self.runs: Counter[str] = Counter()
        self.started: Counter[str] = Counter()
        self.jobs: dict[str, int] = {}
        self.keepers = {name: SimulatedKeeper(self, name) for name in self.live}
        self.list_replicas(replicas)
        for keeper in self.keepers.values():
            keeper.start()

    def list_replicas(self, replicas: Sequence[str]) -> None:
        """Give a list of replicas to every keeper."""
        self.listed = list(replicas)
        listed = [Replica(name, self.upstream, "h", 1, "dc") for name in replicas]
        for keeper in self.keepers.values():
            keeper.load_tracker.on_listed(listed, (), dict.fromkeys(replicas, SLOTS))
            keeper.outliers.on_listed(listed)

    def fill(self, replica: str, online: int) -> None:
        """Report online calls at a replica to every keeper."""
        now = self.time.clock.now()
        for keeper in self.keepers.values():
            keeper.load_tracker.on_peer_calls(
                f"entry-{replica}", [ReplicaUse(replica, online, 0)], now
            )

    def lose(self, name: str) -> None:
        """Crash a keeper."""
        self.live = [keeper for keeper in self.live if keeper != name]
        self.keepers.pop(name).close()
        for keeper in self.keepers.values():
            keeper.load_tracker.on_peer_departed(name)
            keeper.runner.update_owned_jobs()

    def submit(self, job_id: str, items: int) -> None:
        """Accept a job and give its record to every keeper."""
        self.jobs[job_id] = items
        made = record(*(f"{job_id}-{n}" for n in range(items)))
        made = made._replace(accepted_ms=int(self.time.clock.wall()), path=f"/jobs/{self.upstream}")
        version = self.memory.put(job_key(job_id), encode(made))
        for keeper in self.keepers.values():
            keeper.runner.on_change(Change(job_key(job_id), version, False, encode(made)))

    def run(self, ms: int) -> None:
        """Advance the time."""
        for _ in range(0, ms, STEP_MS):
            self.time.run_for(STEP_MS)

    def count_listed_items(self, job_id: str) -> int:
        """Return how many items of a job are listed."""
        count = number = 0
        while group_key(job_id, number) in self.memory.objects:
            read = read_group(self.memory.objects[group_key(job_id, number)][1]).unwrap()
            count += len(read.results)
            number += 1
        return count

    def unfinished_items(self) -> dict[str, int]:
        """Return how many items each job still lacks."""
        left = {
            job_id: items - self.count_listed_items(job_id) for job_id, items in self.jobs.items()
        }
        return {job_id: items for job_id, items in left.items() if items}

    def on_uses(self, name: str) -> None:
        """Report a keeper's open calls to the others."""
        uses = self.keepers[name].load_tracker.own_uses() if name in self.keepers else ()
        for keeper in self.keepers.values():
            if keeper.name != name:
                keeper.load_tracker.on_peer_calls(name, uses, self.time.clock.now())

    async def send(
        self, name: str, replica: Replica, call: ForwardCall, taker: Any
    ) -> Result[ForwardedAnswer, Failure]:
        """Run an item at a replica."""
        unresponsive = replica.id in self.unresponsive or replica.id not in self.listed
        if unresponsive or (name, replica.id) in self.cut:
            return Err(Failure(FailureKind.CONNECT, Sent.NO, "refused", new_connection=True))
        self.started[call.request_id] += 1
        await self.time.clock.sleep(RUN_MS)
        if replica.id in self.unresponsive or replica.id not in self.listed:
            return Err(Failure(FailureKind.TRUNCATED, Sent.MAYBE, "reset", new_connection=True))
        taker._state.texts = ["x"] * EVENTS
        self.runs[call.request_id] += 1
        return Ok(StreamedAnswer(200))
