"""Learn from other instances at which software version a stream began, and tell them of own ones.

Streams of an upstream that has had one version for as long as a stream may last are recorded here
only, and nothing is sent for them. Where it has several, or where that is not known, as just after
a start, each stream is reported to a few holders before its caller gets the first event, so that
the knowledge outlives this instance. When a second version appears, the streams that began before
are reported too.
"""

from collections.abc import Awaitable, Callable, Collection, Sequence
from typing import Any, Final, NamedTuple

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.clock import Clock
from papayapier.peer.hub import PeerHub
from papayapier.peer.version_messages import StreamsBegun, VersionAsk, VersionTell
from papayapier.policy.stream_versions import (
    ASKED_HOLDERS,
    HOLDERS,
    PEER,
    RECORDED,
    SOLE_VERSION,
    UNKNOWN,
    StreamOrigin,
    StreamRecord,
    StreamRecords,
    VersionHistory,
    holder_candidates,
    holders_of,
)
from papayapier.store.watch import log_failure
from papayapier.upstream.api import Replica

# A round trip takes some milliseconds, but a busy peer may take a hundred times as long. Callers
# give a stream up after a pause of two seconds, and one that is refused is lost for good.
ANSWER_MS: Final = 500
# Far below the largest frame; request ids have up to a hundred characters.
MAX_STREAMS_PER_MESSAGE: Final = 500


class VersionExchangeDeps(NamedTuple):
    """Group what the exchange needs.

    keepers returns the live keepers. confirm_list reads the list of replicas up to now and returns
    whether it succeeded; complete_since_ms is the time since which no change of the list was
    missed.
    """

    clock: Clock
    hub: PeerHub
    me: str
    keepers: Callable[[], Collection[str]]
    confirm_list: Callable[[], Awaitable[bool]]
    complete_since_ms: Callable[[], int | None]


class VersionExchange:
    """Know at which software version each stream may go on."""

    def __init__(self, deps: VersionExchangeDeps, life_ms: Callable[[], int]) -> None:
        self._deps = deps
        self.history = VersionHistory(life_ms)
        self._own = StreamRecords(life_ms)
        self._reported = StreamRecords(life_ms)
        self._candidates: tuple[frozenset[str], list[str]] = (frozenset(), [])
        deps.hub.subscribe(StreamsBegun, self._on_streams_begun)
        deps.hub.subscribe(VersionAsk, self._on_request)

    def on_listed(self, replicas: Sequence[Replica]) -> None:
        """Apply a new list of replicas, and report streams once an upstream has two versions."""
        now = self._deps.clock.now()
        for upstream in self.history.on_listed(replicas, now):
            for version, streams in self._own.by_version(upstream, now):
                self._report(upstream, version, streams)

    def on_begun(self, stream: str, upstream: str, version: str) -> None:
        """Record a stream whose first event is about to be sent to its caller."""
        now = self._deps.clock.now()
        self._own.add(stream, upstream, version, now)
        if self._sole(upstream) is None:
            self._report(upstream, version, [stream])

    async def resolve(self, stream: str, upstream: str) -> StreamOrigin:
        """Return at which version a stream began that a caller resumes.

        The list must be read after the caller's request arrived: a version that is not listed
        then cannot have begun the stream.
        """
        recorded = self._recorded(stream)
        if recorded is not None:
            return StreamOrigin(recorded.version_at(upstream), RECORDED)
        sole = await self._confirm_sole(upstream)
        if sole is not None and sole == self._sole(upstream):
            return StreamOrigin(sole, SOLE_VERSION)
        replies = await self._ask_peers(stream, upstream)
        for reply in replies:
            if reply.version is not None:
                self._own.add(stream, upstream, reply.version, self._deps.clock.now())
                return StreamOrigin(reply.version, PEER)
        if sole is not None and any(reply.sole == sole for reply in replies):
            return StreamOrigin(sole, SOLE_VERSION)
        return UNKNOWN

    def _recorded(self, stream: str) -> StreamRecord | None:
        now = self._deps.clock.now()
        return self._own.find(stream, now) or self._reported.find(stream, now)

    def _sole(self, upstream: str) -> str | None:
        """Return the only version that an upstream has had for as long as a stream may last."""
        return self.history.sole(upstream, self._deps.complete_since_ms(), self._deps.clock.now())

    async def _confirm_sole(self, upstream: str) -> str | None:
        """Return the only recent version that is known here, if the list is current."""
        if self.history.has_several(upstream, self._deps.clock.now()):
            return None
        if not await self._deps.confirm_list():
            return None
        return self.history.sole_known(upstream, self._deps.clock.now())

    async def _ask_peers(self, stream: str, upstream: str) -> list[VersionTell]:
        """Ask several peers at once, until one knows the version or all have replied."""
        peers = self._asked_peers(stream)
        replies: list[VersionTell] = []
        pending = len(peers)
        done: Deferred[None] = Deferred()

        async def ask(peer_id: str) -> None:
            nonlocal pending
            reply: Any = await self._deps.hub.send_request(
                peer_id,
                lambda correlation_id: VersionAsk(correlation_id, upstream, stream),
                ANSWER_MS,
            )
            pending -= 1
            if isinstance(reply, Ok) and isinstance(reply.ok_value, VersionTell):
                replies.append(reply.ok_value)
            is_known = bool(replies) and replies[-1].version is not None
            if not done.called and (is_known or not pending):
                done.callback(None)

        for peer_id in peers:
            Deferred.fromCoroutine(ask(peer_id)).addErrback(log_failure, "stream version")
        if peers:
            await done
        return replies

    def _asked_peers(self, stream: str) -> list[str]:
        if self._deps.hub.plan().full_mesh:
            return [peer_id for peer_id in self._deps.hub.live() if peer_id != self._deps.me]
        return self._holders(stream, ASKED_HOLDERS)

    def _holders(self, stream: str, count: int) -> list[str]:
        instances = frozenset(self._deps.keepers()) or frozenset(self._deps.hub.live())
        if self._candidates[0] != instances:
            self._candidates = (instances, holder_candidates(instances))
        holders = holders_of(stream, self._candidates[1], count + 1)
        return [holder for holder in holders if holder != self._deps.me][:count]

    def _report(self, upstream: str, version: str, streams: Sequence[str]) -> None:
        by_holder: dict[str, list[str]] = {}
        for stream in streams:
            for holder in self._holders(stream, HOLDERS):
                by_holder.setdefault(holder, []).append(stream)
        for holder, held in by_holder.items():
            for at in range(0, len(held), MAX_STREAMS_PER_MESSAGE):
                message = StreamsBegun(
                    upstream, version, tuple(held[at : at + MAX_STREAMS_PER_MESSAGE])
                )
                self._deps.hub.send(holder, message)

    def _on_streams_begun(self, _peer_id: str, message: StreamsBegun) -> None:
        now = self._deps.clock.now()
        for stream in message.streams:
            self._reported.add(stream, message.upstream, message.version, now)

    def _on_request(self, peer_id: str, request: VersionAsk) -> None:
        recorded = self._recorded(request.stream)
        version = None if recorded is None else recorded.version_at(request.upstream)
        self._deps.hub.send(
            peer_id, VersionTell(request.correlation_id, version, self._sole(request.upstream))
        )
