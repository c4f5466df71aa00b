"""Run the dispatch of one instance on a fake clock against scripted replicas.

A send to a replica stays open until the test finishes it, so that a test can produce any order of
tokens, answers, failures, cancels and delays.
"""

import json
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import CancelledError, Deferred

from papayapier.batch.api import ItemCall
from papayapier.clock import fake_clock
from papayapier.config.profiles import Profile, RetryRule
from papayapier.dispatch.api import DispatchDeps, OnlineRequest
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.item_dispatch import ItemDispatch
from papayapier.dispatch.online import OnlineDispatch
from papayapier.errors import Outcome, Refusal
from papayapier.metrics import make_metrics
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.batch_share import BatchShare
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.retries import RetryBudget
from papayapier.upstream.api import (
    Call,
    Failure,
    FailureKind,
    Load,
    OnToken,
    Replica,
    Reply,
    Sent,
    Token,
    UpstreamClient,
)

CHAT = "/v1/chat/completions"
BODY = b'{"model":"lm","messages":[{"role":"user","content":"open?"}]}'
RunResult = Result[Reply, Refusal]

QUESTIONS = Profile("questions", "lm", "normal", 10_000, True, retry=RetryRule(attempts=3))
GATE = Profile("gate", "gate", "urgent", 2_000, False, retry=RetryRule(attempts=3))
NOTES = Profile("notes", "lm", "batch", 3_600_000, True, retry=RetryRule(attempts=3))
PASSES = Profile("passes", "gate", "batch", 3_600_000, False, retry=RetryRule(attempts=3))


WORLDS: "list[DispatchWorld]" = []


class Send:
    """Record one send to a replica; a cancel finishes it as the client would."""

    def __init__(self, replica: Replica, call: Call, on_token: OnToken) -> None:
        self.replica = replica
        self.call = call
        self.cancelled = False
        self.sent = Sent.MAYBE
        self._on_token = on_token
        self._texts: list[str] = []
        self.done: Deferred[Result[Reply, Failure]] = Deferred(lambda _: self._cancel())

    def body(self) -> Any:
        return json.loads(self.call.body)

    def token(self, *texts: str) -> None:
        for text in texts:
            self._texts.append(text)
            data = json.dumps({"id": self.call.request_id, "text": text}).encode()
            self._on_token(Token(text, data, 0))

    def answer(self, total_ms: int = 0) -> None:
        text = "".join(self._texts)
        reply = Reply(200, "", b"ok", text, len(self._texts), "stop", None, 0, total_ms)
        self.done.callback(Ok(reply))

    def fail(self, kind: FailureKind, sent: Sent = Sent.MAYBE, status: int = 0) -> None:
        self.done.callback(Err(Failure(kind, sent, kind.value, status, new_connection=True)))

    def _cancel(self) -> None:
        self.cancelled = True
        self.fail(FailureKind.CANCELLED, self.sent)


class SlotShare(BatchShare):
    """Give batch all slots of a replica that this instance's online calls do not use."""

    def max_streams(self, replica_id: str, load_tracker: LoadTracker, now: int) -> int:
        return max(0, load_tracker.slots(replica_id) - load_tracker.own_calls(replica_id).online)


class DispatchWorld:
    """Own the dispatch, and record its sends."""

    def __init__(self, lm: int = 1, gate: int = 0, slots: int = 1, queued: int = 100) -> None:
        WORLDS.append(self)
        self._open: list[Deferred[RunResult]] = []
        self.time = fake_clock()
        self.sends: list[Send] = []
        self.slow_cancels = False
        self.queue = AdmissionQueue(queued)
        self.load_tracker = LoadTracker()
        self.outliers = OutlierDetector()
        self.metrics = make_metrics()
        self.crashes = CrashWatch(self.time.clock, self.metrics, lambda: True)
        names = [f"lm-{n}" for n in range(lm)] + [f"gate-{n}" for n in range(gate)]
        self.replicas = [Replica(name, name.split("-")[0], "h", 1, "dc") for name in names]
        self.slots = slots
        self.list_replicas()
        self.report()
        self.deps = DispatchDeps(
            clock=self.time.clock,
            rand=random.Random(1),
            data_centre="dc",
            load_tracker=self.load_tracker,
            outliers=self.outliers,
            crashes=self.crashes,
            queue=self.queue,
            budget=RetryBudget(),
            first_bytes=FirstByteTimes(),
            share=SlotShare("entry-1"),
            upstreams=UpstreamClient(self._send, _never, _never, _never),
            metrics=self.metrics,
            on_uses_changed=lambda: None,
        )
        self.item_dispatch = ItemDispatch(self.deps)
        self.online = OnlineDispatch(self.deps, self.item_dispatch.preempt_for_online)

    async def _send(
        self, replica: Replica, call: Call, on_token: OnToken
    ) -> Result[Reply, Failure]:
        send = Send(replica, call, on_token)
        self.sends.append(send)
        if not self.slow_cancels:
            return await send.done
        waiting: Deferred[Result[Reply, Failure]] = Deferred()
        send.done.addCallback(waiting.callback)
        try:
            return await waiting
        except CancelledError:
            send.cancelled = True
            return await send.done

    def list_replicas(self, leaving: Sequence[str] = ()) -> None:
        self.load_tracker.on_listed(self.replicas, set(leaving))
        self.outliers.on_listed(self.replicas)
        self.crashes.on_listed([replica.id for replica in self.replicas], leaving)

    def end_replica(self, send: Send) -> None:
        """End the replica of an open send; a new replica is listed in its place."""
        send.fail(FailureKind.TRUNCATED)
        ended_replica = send.replica
        self.replicas.remove(ended_replica)
        self.replicas.append(ended_replica._replace(id=f"{ended_replica.id}+"))
        self.list_replicas()
        self.report()

    def report(self) -> None:
        for replica in self.replicas:
            own = self.load_tracker.own_calls(replica.id)
            load = Load(own.online + own.batch, 0, self.slots, 0.0, self.time.clock.now())
            self.load_tracker.on_report(replica.id, load)

    def advance(self, delay_ms: int, step_ms: int = 10) -> None:
        """Advance the time in small steps, so that repeated timers fire at the right times."""
        for _ in range(delay_ms // step_ms):
            self.time.jump(step_ms)

    def send_request(
        self,
        profile: Profile = QUESTIONS,
        call_id: str = "call",
        on_token: OnToken = lambda _: None,
        due_ms: int = 0,
        body: bytes = BODY,
        claim: "Callable[[], Awaitable[Result[None, Refusal]]] | None" = None,
    ) -> Deferred[RunResult]:
        """Run an online request."""
        generates = profile.upstream == "lm"
        due = self.time.clock.now() + (due_ms or profile.due_ms)
        path = CHAT if generates else "/passes"
        req = OnlineRequest(
            call_id, "sulina", profile, "POST", path, body, "", generates, "open?", due
        )
        return self._started(Deferred.fromCoroutine(self.online.run(req, on_token, claim)))

    def run_item(
        self,
        profile: Profile = NOTES,
        call_id: str = "item",
        allowed: Callable[[], bool] = lambda: True,
        body: bytes = BODY,
    ) -> Deferred[RunResult]:
        """Run a batch item."""
        path = CHAT if profile.upstream == "lm" else "/passes"
        due = self.time.clock.wall() + 3_600_000
        call = ItemCall(call_id, "sulina", profile, "POST", path, body, due, allowed)
        return self._started(Deferred.fromCoroutine(self.item_dispatch.run(call)))

    def _started(self, pending: Deferred[RunResult]) -> Deferred[RunResult]:
        self._open.append(pending)
        return pending

    def close(self) -> None:
        """Cancel what a test has left open.

        Otherwise the garbage collector closes unreferenced coroutines at an arbitrary time, and
        their errors are reported as those of another test.
        """
        self.slow_cancels = False
        for pending in self._open:
            pending.addErrback(lambda _: None)
            pending.cancel()
        self.online.close()
        self.item_dispatch.close()

    def is_idle(self) -> bool:
        """Return whether nothing is queued, running or counted as open."""
        left = (
            self.online.unfinished_count()
            + self.item_dispatch.unfinished_count()
            + self.queue.depth()
        )
        return left == 0 and self.load_tracker.own_uses() == []


def result(pending: Deferred[RunResult]) -> RunResult:
    """Return the result of a finished request or item."""
    got: list[Any] = []
    pending.addBoth(got.append)
    assert got, "it has not finished"
    assert isinstance(got[0], Ok | Err), got[0]
    return got[0]


def outcome(pending: Deferred[RunResult]) -> Outcome:
    """Return the outcome that a refusal states."""
    return result(pending).unwrap_err().outcome


async def _never(*_: Any) -> Any:
    raise AssertionError("not scripted")
