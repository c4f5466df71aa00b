"""Define the dependencies of forwarding, and the state of one forwarded request."""

from typing import TYPE_CHECKING, NamedTuple

from twisted.web.http_headers import Headers

from papayapier.dispatch.lost_sends import no_parts, request_fingerprint
from papayapier.dispatch.relayed_stream import CallerStream, RelayedStream
from papayapier.dispatch.retrying import SendHistory
from papayapier.upstream.event_splitter import NO_EVENT

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    from papayapier.clock import Clock
    from papayapier.config.profiles import Profile
    from papayapier.dispatch.crash_watch import CrashWatch, GetParts
    from papayapier.dispatch.silent_sends import SilentSend
    from papayapier.metrics import Metrics
    from papayapier.policy.admission import AdmissionQueue
    from papayapier.policy.first_byte import FirstByteTimes
    from papayapier.policy.loads import LoadTracker
    from papayapier.policy.outliers import OutlierDetector
    from papayapier.policy.placers import Placement, PlacementNeeds
    from papayapier.policy.retries import RetryBudget
    from papayapier.policy.routing import RouteRequest
    from papayapier.policy.stream_versions import StreamOrigin
    from papayapier.upstream.api import Replica
    from papayapier.upstream.forward_call import ForwardAnswer, ForwardCallSender


class RawRequest(NamedTuple):
    """Describe a caller's request; due_ms is on the monotonic clock.

    prompt identifies the part of the prompt that a replica may have cached. last_event is the
    event after which the caller wants the stream to resume, and resumed_attempt the request id of
    the caller's attempt that brought the first event of that stream. stream_version is the software
    version that began it, once it is known. is_retry says that the request is a retry: its caller
    has spent part of its time elsewhere. may_retry says that the caller may retry if it is refused.
    get_parts returns the parts of the prompt that other prompts may share.
    """

    request_id: str
    profile: "Profile"
    method: str
    target: str
    headers: Headers
    body: bytes
    stream: bool
    prompt: str
    due_ms: int
    last_event: int = NO_EVENT
    resumed_attempt: str = ""
    stream_version: str | None = None
    arrived_ms: int = 0
    team: str = ""
    rank: int = 0
    objective_ms: int = 0
    is_retry: bool = False
    may_retry: bool = True
    get_parts: "GetParts" = no_parts

    def resumes_stream(self) -> bool:
        """Return whether the caller has received a part of the stream already."""
        return self.stream and self.last_event != NO_EVENT

    def caller(self) -> str:
        """Return the unit of fair queueing: the team, or the route if there is no team."""
        return self.team or self.profile.name

    def fingerprint(self) -> str:
        """Return the request fingerprint, which is the same when the caller retries."""
        host = self.headers.getRawHeaders(b"Host", [b""])[0].decode("latin-1")
        return request_fingerprint(self.method, host, self.target, self.body, self.team)


class ForwardDeps(NamedTuple):
    """Group the dependencies of forwarding.

    make_headers builds the headers for a replica from those of the request, the replica, the
    remaining ms and the last event. on_uses_changed is called whenever the number of open calls at
    a replica changes. place returns the decision of the placer, which chooses replicas for all
    instances; on_unanswered notifies the placer of a replica that did not answer.
    peer_loads_are_fresh returns whether peers report their open calls within about 50 ms.
    on_stream_begun records a stream, by the request id of its first attempt, its upstream and its
    software version; find_stream_origin returns that version for a stream that a caller resumes.
    """

    clock: "Clock"
    rand: "random.Random"
    data_centre: str
    load_tracker: "LoadTracker"
    outliers: "OutlierDetector"
    crashes: "CrashWatch"
    queue: "AdmissionQueue"
    budget: "RetryBudget"
    first_bytes: "FirstByteTimes"
    send: "ForwardCallSender"
    make_headers: "Callable[[Headers, Replica, int | None, int], Headers]"
    metrics: "Metrics"
    on_uses_changed: "Callable[[], None]"
    place: "Callable[[RouteRequest, PlacementNeeds], Awaitable[Placement]]"
    on_unanswered: "Callable[[Replica], None]"
    peer_loads_are_fresh: "Callable[[], bool]"
    on_stream_begun: "Callable[[str, str, str], None]"
    find_stream_origin: "Callable[[str, str], Awaitable[StreamOrigin]]"


class ForwardProgress:
    """Hold what one request has sent and received over all its attempts."""

    __slots__ = (
        "began_ms",
        "failed_answer",
        "first_silence_ms",
        "found",
        "history",
        "placed",
        "placed_sends",
        "placed_with_capacity",
        "placement_ms",
        "replicas",
        "silent_ms",
        "stream",
        "stream_version",
        "version",
    )

    def __init__(
        self,
        req: RawRequest,
        caller_stream: CallerStream | None,
        began_ms: int,
        on_stream_begun: "Callable[[str, str, str], None]",
    ) -> None:
        self.history = SendHistory(fresh=not req.profile.idempotent)
        self.began_ms = began_ms
        self.replicas: list[str] = []
        # The software version of the replica that ran the last send.
        self.version = ""
        self.placement_ms = 0
        # The placer, which knows all open calls, reported a free slot at the replica of this send.
        self.placed_with_capacity = False
        # Whether a placer chose the replica, and how many sends it did so for.
        self.placed = False
        self.placed_sends = 0
        self.failed_answer: ForwardAnswer | None = None
        # The replica of the next send, found while the present one was silent.
        self.found: Replica | None = None
        # How long the first silence of the last send was when it was noticed, 0 without any.
        self.first_silence_ms = 0
        # The longest silence of a replica.
        self.silent_ms = 0
        # The software version that began the stream, None before its first event.
        self.stream_version = req.stream_version

        def on_first_event() -> None:
            self.stream_version = self.version
            if req.profile.idempotent:
                on_stream_begun(req.request_id, req.profile.upstream, self.version)

        # Only resumable streams have an idempotent profile.
        self.stream = (
            RelayedStream(caller_stream, req.last_event, req.profile.idempotent, on_first_event)
            if caller_stream is not None
            else None
        )

    def on_send_ended(self, silent_send: "SilentSend") -> None:
        """Record what the silence of a replica has led to."""
        self.found = silent_send.found
        self.history.moved |= silent_send.found is not None
        self.first_silence_ms = silent_send.first_ms
        self.silent_ms = max(self.silent_ms, silent_send.longest_ms)

    def last_event(self) -> int:
        """Return the last event that the caller has received, or NO_EVENT."""
        return self.stream.last_event() if self.stream is not None else NO_EVENT

    def has_begun(self) -> bool:
        """Return whether the head of a stream has been sent to the caller."""
        return self.stream is not None and self.stream.started
