"""Stand in for replicas of the platform: streams of events and whole answers, with faults."""

import itertools
from typing import TYPE_CHECKING, Any, Final

from twisted.internet import reactor as installed
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from tests.site.store import StandinStore

if TYPE_CHECKING:
    from collections.abc import Callable

reactor: Any = installed
_Resource: Any = Resource

SLOTS: Final = 4
EVENTS: Final = 6
EVENT_S: Final = 0.02
# A request with this in its path ends each replica that begins to run it.
CRASHING: Final = b"crash"
# A request of this path is answered with a large body.
LARGE: Final = b"/look/large"
LARGE_BYTES: Final = 420_000
CRASH_S: Final = 0.02
# The platform's list drops a replica that has ended only after some silence.
LAPSE_S: Final = 0.5
_NUMBERS = itertools.count(1)


class StandinReplica(_Resource):  # type: ignore[misc]
    """Serve one replica; runs counts what it has begun, by request id, in SLOTS at once.

    cut_after breaks every stream after that many events, stall_after lets it fall silent there.
    hang answers nothing; shed rejects; fails tells which requests are run and answered with an
    error. A request whose path has CRASHING in it ends the replica; ended is called then.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, store: StandinStore, service: str) -> None:
        super().__init__()
        self.id = f"i-{next(_NUMBERS)}"
        self.runs: list[str] = []
        self.cut_after = 0
        self.stall_after = 0
        self.hang = False
        self.shed = False
        self.fails: Callable[[Any], bool] = fails_none
        self.gone_runs = 0
        # Requests that are open now, and the most there were.
        self.open = 0
        self.most_open = 0
        # What each run was asked with: the team's name, and a key if one came.
        self.asked: list[tuple[str, str | None, str | None]] = []
        self.asked_s: list[float] = []
        self.born = 0
        self.ended: Callable[[], None] | None = None
        self.crashed = False
        self.leaving = False
        self._channels: set[Any] = set()
        self._lapse: Any = None
        self.service = service
        self._store = store
        self._port = reactor.listenTCP(0, Site(self), interface="127.0.0.1")
        self.address = f"127.0.0.1:{self._port.getHost().port}"
        self.register("ready")

    def register(self, state: str) -> None:
        """Write this replica's entry."""
        self.leaving = state == "draining"
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "z1",
            "slots": SLOTS,
        }
        if self.born:
            entry["born"] = self.born
        self._store.put("servers", self.id, {**entry, "state": state})

    def restart(self) -> None:
        """Start again under the same name, as another boot."""
        self.born += 1
        self.register("ready")

    async def close(self) -> None:
        """Stop serving."""
        if self._lapse is not None and self._lapse.active():
            self._lapse.cancel()
        if not self._port.disconnected:
            await self._port.stopListening()

    def _crash(self) -> None:
        """End: all connections are reset, no new ones are taken, the entry lapses."""
        if self.ended is None or self.crashed:
            return
        self.crashed = True
        for channel in self._channels:
            if channel.transport is not None:
                channel.transport.abortConnection()
        self._port.stopListening()
        self._lapse = reactor.callLater(LAPSE_S, self._store.remove, "servers", self.id)
        self.ended()

    def render(self, request: Any) -> Any:
        if self.crashed:
            request.transport.abortConnection()
            return NOT_DONE_YET
        self._channels.add(request.channel)
        request_id = request.getHeader("X-Request-Id")
        if request.getHeader("X-Expect-Instance") != self.id:
            return _refuse(request, 421)
        if self.shed:
            return _refuse(request, 503)
        self.runs.append(request_id)
        self.asked.append(
            (request_id, request.getHeader("X-Tenant"), request.getHeader("Authorization"))
        )
        self.asked_s.append(reactor.seconds())
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        request.notifyFinish().addBoth(self._closed)
        if CRASHING in request.path:
            reactor.callLater(CRASH_S, self._crash)
            return NOT_DONE_YET
        if self.hang:
            return NOT_DONE_YET
        request.setHeader("X-Request-Id", request_id)
        request.setHeader("X-Server-Stamp", "signed")
        request.setHeader("X-Server-Load", "1,0,4")
        if self.fails(request):
            request.setResponseCode(500)
            return b"failed"
        if request.path == LARGE:
            return b"x" * LARGE_BYTES
        if b"/stream/" not in request.path and b"/job/" not in request.path:
            return b"whole answer"
        after = int(request.getHeader("Last-Event-Id") or 0)
        request.setHeader("Content-Type", "text/event-stream")
        reactor.callLater(EVENT_S, self._event, request, after + 1, 1)
        return NOT_DONE_YET

    def _closed(self, _why: object) -> None:
        self.open -= 1

    def _event(self, request: Any, number: int, sent: int) -> None:
        if request._disconnected:
            return
        if number > EVENTS:
            request.finish()
            return
        if self.stall_after and sent > self.stall_after:
            return
        if self.cut_after and sent > self.cut_after:
            request.write(f"id: {number}\nda".encode())
            reactor.callLater(0, request.transport.abortConnection)
            return
        request.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        reactor.callLater(EVENT_S, self._event, request, number + 1, sent + 1)


def fails_none(_request: Any) -> bool:
    """Fail no request."""
    return False


def _refuse(request: Any, status: int) -> bytes:
    request.setResponseCode(status)
    request.setHeader("X-Not-Executed", "1")
    return b""
