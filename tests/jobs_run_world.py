"""Run items of jobs on a fake clock against scripted replicas of each upstream."""

import random
from typing import TYPE_CHECKING, Any, cast

from result import Err, Ok, Result
from twisted.internet.defer import Deferred

from papayapier.clock import fake_clock
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.jobs.owned_job import ItemState, OwnedJob
from papayapier.jobs.records import JobItem, JobRecord
from papayapier.jobs.runs import RunDeps, Runs
from papayapier.metrics import make_metrics
from papayapier.platform.headers import shared_parts, with_team
from papayapier.policy.batch_limits import SPARE_SLOTS
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.forward_call import ForwardCall, ForwardedAnswer, StreamedAnswer

if TYPE_CHECKING:
    from papayapier.config.route_table import Route

SLOTS = 4
USABLE_SLOTS = SLOTS - SPARE_SLOTS
EVENTS = 100
RUN_MS = 3_000
SOON_MS = 1_000
FAR_MS = 60_000


class Share:
    def __init__(self, upstream: str) -> None:
        self.upstream = upstream


class RouteTo:
    attempts = 3

    def __init__(self, upstream: str) -> None:
        self.shares = [Share(upstream)]


class World:
    """Simulate the only instance that runs batch, with replicas of each upstream."""

    def __init__(self, *upstreams: str, replicas: int = 1) -> None:
        self.time = fake_clock()
        self.load_tracker = LoadTracker()
        self.outliers = OutlierDetector()
        self.replicas = [
            Replica(f"{name}-{number + 1}", name, "h", 1, "dc")
            for name in upstreams
            for number in range(replicas)
        ]
        # Ids of the replicas that refuse connections.
        self.closed: set[str] = set()
        self.crashes = CrashWatch(self.time.clock, make_metrics(), lambda: True)
        self.list_replicas()
        self.calls: dict[str, ForwardCall] = {}
        self.with_team: Any = lambda headers, _team: headers
        self.sends = 0
        self.sent: dict[str, Deferred[Any]] = {}
        self.done: list[str] = []
        self.jobs: list[tuple[OwnedJob, Route]] = []
        self.deps = deps = RunDeps(
            clock=self.time.clock,
            rand=random.Random(1),
            instance_id="a",
            load_tracker=self.load_tracker,
            outliers=self.outliers,
            crashes=self.crashes,
            send=self._send,
            make_headers=lambda headers, _replica, _left, _last: headers,
            with_team=lambda headers, team: self.with_team(headers, team),
            decode_body=lambda _item: b"",
            shared_parts=shared_parts,
            request_id=b"X-Request-Id",
            sharing=lambda: ["a"],
            unreachable=lambda: (),
            on_uses_changed=lambda: None,
        )
        self.runs = Runs(deps, lambda job: self.done.append(job.job_id), lambda: None)

    def list_replicas(self) -> None:
        self.load_tracker.on_listed(
            self.replicas, (), {replica.id: SLOTS for replica in self.replicas}
        )
        self.outliers.on_listed(self.replicas)
        self.crashes.on_listed([replica.id for replica in self.replicas], ())

    def replace(self, upstream: str) -> None:
        """Remove the replicas of an upstream, and list a new one instead."""
        self.replicas = [replica for replica in self.replicas if replica.upstream != upstream]
        self.replicas.append(Replica(f"{upstream}-{self.sends + 1}", upstream, "h", 1, "dc"))
        self.list_replicas()

    def real_headers(self) -> None:
        """Set the team header as the program does."""
        self.with_team = with_team

    async def _send(
        self, replica: Replica, call: ForwardCall, _taker: Any
    ) -> Result[ForwardedAnswer, Failure]:
        self.sends += 1
        if replica.id in self.closed:
            return Err(Failure(FailureKind.CONNECT, Sent.NO, "refused", new_connection=True))
        self.calls[call.request_id] = call
        self.sent[call.request_id] = Deferred(lambda _: None)
        try:
            sent: Result[ForwardedAnswer, Failure] = await self.sent[call.request_id]
            return sent
        finally:
            del self.sent[call.request_id]

    def job(self, name: str, items: int, due_in_ms: int, upstream: str = "lm") -> OwnedJob:
        listed = tuple(JobItem(f"{name}-{n}", "/j", {}, "", 10) for n in range(items))
        job = OwnedJob(name, JobRecord("w", "h", "/j", 0, listed, items))
        job.due_ms = self.time.clock.wall() + due_in_ms
        self.jobs.append((job, cast(Any, RouteTo(upstream))))
        self.jobs.sort(key=lambda entry: entry[0].due_ms)
        return job

    def learn(self, upstream: str = "lm") -> None:
        """Run one item to its end, so that the typical run time is known."""
        (item,) = self.job("first", 1, FAR_MS, upstream).items.values()
        self.pump()
        self.time.jump(RUN_MS)
        self.end(item)
        self.jobs.clear()

    def end(self, state: ItemState) -> None:
        state.texts = ["x"] * EVENTS
        self.sent[state.item.id].callback(Ok(StreamedAnswer(200)))

    def lose(self, state: ItemState, kind: FailureKind, sent: Sent) -> None:
        self.sent[state.item.id].callback(Err(Failure(kind, sent, kind.value, new_connection=True)))

    def pump(self) -> None:
        self.runs.run_round(self.jobs)
