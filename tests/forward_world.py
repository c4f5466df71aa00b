"""Run the forwarding of one entry on a fake clock against scripted replicas."""

import random
from typing import Any

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from papayapier.clock import FakeClock, fake_clock
from papayapier.config.profiles import Profile, RetryRule
from papayapier.dispatch.crash_watch import CrashWatch
from papayapier.dispatch.forward_state import ForwardDeps, RawRequest
from papayapier.dispatch.forwarding import forward, resolve_resumption
from papayapier.errors import Refusal
from papayapier.metrics import make_metrics
from papayapier.policy.admission import AdmissionQueue
from papayapier.policy.first_byte import FirstByteTimes
from papayapier.policy.loads import LoadTracker
from papayapier.policy.outliers import OutlierDetector
from papayapier.policy.placers import UNDECIDED, Placement, PlacementNeeds
from papayapier.policy.retries import RetryBudget
from papayapier.policy.routing import RouteRequest
from papayapier.policy.stream_versions import RECORDED, StreamOrigin
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent
from papayapier.upstream.event_splitter import NO_EVENT
from papayapier.upstream.exchange import ResponseHead
from papayapier.upstream.forward_call import (
    ForwardAnswer,
    ForwardCall,
    ForwardedAnswer,
    StreamConsumer,
    StreamedAnswer,
    is_success,
)

ForwardResult = Result[ForwardedAnswer, Refusal]


class Send:
    """Record one send to a replica."""

    def __init__(self, replica: Replica, call: ForwardCall, taker: StreamConsumer | None) -> None:
        self.replica = replica
        self.call = call
        self.taker = taker
        self.done: Deferred[Result[ForwardedAnswer, Failure]] = Deferred(lambda _: self._cancel())

    def events(self, *numbers: int) -> None:
        """Send complete events of a stream."""
        assert self.taker is not None
        self.taker.on_head(ResponseHead(200, Headers(), 0))
        for number in numbers:
            self.data(f"id: {number}\ndata: {number}\n\n".encode())

    def data(self, data: bytes) -> None:
        assert self.taker is not None
        assert self.taker.on_data(data, 1) is None

    def answer(self, status: int = 200, body: bytes = b"whole") -> None:
        if self.taker is not None and is_success(status):
            assert self.taker.on_end(True) is None
            self.done.callback(Ok(StreamedAnswer(status)))
            return
        self.done.callback(Ok(ForwardAnswer(status, Headers(), body)))

    def fail(self, kind: FailureKind, sent: Sent, status: int = 0) -> None:
        self.done.callback(Err(Failure(kind, sent, kind.value, status, new_connection=True)))

    def _cancel(self) -> None:
        self.fail(FailureKind.CANCELLED, Sent.MAYBE)


class Caller:
    """Receive a stream like a caller."""

    def __init__(self) -> None:
        self.heads = 0
        self.body = b""

    def begin(self, answer: ResponseHead) -> None:
        self.heads += 1

    def write(self, data: bytes) -> None:
        self.body += data


class ForwardWorld:
    """Own the dependencies of forwarding, and record the sends."""

    def __init__(self, replicas: int = 3, seed: int = 3, time: FakeClock | None = None) -> None:
        self.time = time or fake_clock()
        self.sends: list[Send] = []
        self.load_tracker = LoadTracker()
        self.outliers = OutlierDetector()
        self.replicas = [Replica(f"r{n}", "lm", "h", n, "dc") for n in range(replicas)]
        self.crashes = CrashWatch(self.time.clock, make_metrics(), lambda: True)
        self._last_number = replicas
        self.list_replicas()
        self.unanswered: list[Replica] = []
        self.deps = ForwardDeps(
            clock=self.time.clock,
            rand=random.Random(seed),
            data_centre="dc",
            load_tracker=self.load_tracker,
            outliers=self.outliers,
            crashes=self.crashes,
            queue=AdmissionQueue(100),
            budget=RetryBudget(),
            first_bytes=FirstByteTimes(),
            send=self._send,
            make_headers=lambda headers, _replica, _left, _last: headers,
            metrics=make_metrics(),
            on_uses_changed=lambda: None,
            place=self._place,
            on_unanswered=self.unanswered.append,
            peer_loads_are_fresh=lambda: True,
            on_stream_begun=lambda *begun: self.begun.append(begun),
            find_stream_origin=self._find_origin,
        )
        # Streams that have begun: the first attempt's id, the upstream and the software version.
        self.begun: list[tuple[str, ...]] = []
        # What is known of a stream that a caller resumes.
        self.origin = StreamOrigin("", RECORDED)
        # The decision of the placer, if there is one.
        self.placed = UNDECIDED
        self.placement_requests: list[PlacementNeeds] = []

    async def _place(self, _req: RouteRequest, needs: PlacementNeeds) -> Placement:
        self.placement_requests.append(needs)
        return self.placed

    async def _find_origin(self, _stream: str, _upstream: str) -> StreamOrigin:
        return self.origin

    async def _send(
        self, replica: Replica, call: ForwardCall, taker: StreamConsumer | None
    ) -> Result[ForwardedAnswer, Failure]:
        send = Send(replica, call, taker)
        self.sends.append(send)
        return await send.done

    def start_request(
        self,
        idempotent: bool,
        caller: Caller | None = None,
        attempts: int = 3,
        body: bytes = b"",
        due_ms: int = 5_000,
        last_event: int = NO_EVENT,
        resumed_attempt: str = "",
        parts: tuple[str, ...] = (),
        prompt: str = "",
    ) -> list[ForwardResult]:
        """Forward a request; its result is appended to the returned list."""
        profile = Profile("p", "lm", "urgent", 5_000, idempotent, retry=RetryRule(attempts))
        due = self.time.clock.now() + due_ms
        req = RawRequest(
            "id-1",
            profile,
            "POST",
            "/a",
            Headers(),
            body,
            caller is not None,
            prompt,
            due,
            last_event,
            resumed_attempt,
            get_parts=lambda: parts,
        )
        results: list[ForwardResult] = []
        forwarding: Any = Deferred.fromCoroutine(self._forward(req, caller))
        forwarding.addCallback(results.append)
        return results

    async def _forward(self, req: RawRequest, caller: Caller | None) -> ForwardResult:
        resolved = await resolve_resumption(self.deps, req)
        if isinstance(resolved, Err):
            return resolved
        return await forward(self.deps, resolved.ok_value, caller)

    def end_replica(self, send: Send) -> None:
        """End the replica of an open send and all its open calls; list a new one in its place."""
        ended_replica = send.replica
        for open_send in [
            open_send
            for open_send in self.sends
            if open_send.replica == ended_replica and not open_send.done.called
        ]:
            open_send.fail(FailureKind.TRUNCATED, Sent.MAYBE)
        self.replicas.remove(ended_replica)
        self._last_number += 1
        self.replicas.append(Replica(f"r{self._last_number}", "lm", "h", self._last_number, "dc"))
        self.list_replicas()

    def list_replicas(self) -> None:
        self.load_tracker.on_listed(self.replicas, ())
        self.outliers.on_listed(self.replicas)
        self.crashes.on_listed([replica.id for replica in self.replicas], ())

    def open_calls(self) -> int:
        """Return how many calls count as open."""
        return sum(use.online for use in self.load_tracker.own_uses())
