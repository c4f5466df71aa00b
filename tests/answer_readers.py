"""Call a server that sends raw bytes with everything in the program that reads answers."""

from collections.abc import Awaitable, Callable
from typing import Any, Final, NamedTuple, cast

from result import Ok, Result
from twisted.internet import reactor as installed
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.http_headers import Headers

from papayapier.clock import real_clock
from papayapier.dispatch.relayed_stream import RelayedStream
from papayapier.jobs.item_run import ItemReceiver
from papayapier.jobs.owned_job import ItemState
from papayapier.jobs.records import JobItem
from papayapier.metrics import make_metrics
from papayapier.operate.client import Client
from papayapier.platform.headers import decode_facts
from papayapier.platform.store import platform_store
from papayapier.settings import PlatformSettings, UpstreamSettings
from papayapier.store.api import StoreError
from papayapier.store.http import http_store
from papayapier.upstream.api import Call, Failure, FailureKind, Replica, Sent
from papayapier.upstream.client import make_upstream_client
from papayapier.upstream.connection_pools import ConnectionPools
from papayapier.upstream.engine_control import Order, OrderKind, make_engine_control
from papayapier.upstream.event_splitter import NO_EVENT
from papayapier.upstream.forward_call import (
    ForwardCall,
    ForwardCallDeps,
    StreamConsumer,
    make_forward_call_sender,
)
from tests.broken_answers import answer_all
from tests.forward_world import Caller
from tests.raw_server import DONE, LAST_EVENT, RawServer, complete_body

reactor: Any = installed

REQUEST: Final = "r1"
DUE_MS: Final = 5_000
CHAT: Final = "/v1/chat/completions"
EVENT: Final = b"id: 1\ndata: 1\n\n"
CFG: Final = UpstreamSettings()


class Reader(NamedTuple):
    """Describe what reads answers: a call, the body of its sound answer, and its header lines.

    error is what a broken answer must become; None allows any error. may_end_by_close says that the
    close of its connection ends a body without a length, states_id that an answer must name its
    request.
    """

    call: Callable[[], Awaitable[Result[Any, Any]]]
    body: bytes
    fields: bytes = b""
    error: object = None
    may_end_by_close: bool = False
    states_id: bool = False


class AnswerReadersCase(TestCase):
    """Own the server, and all that reads its answers."""

    timeout = 60

    def setUp(self) -> None:
        self.clock = real_clock()
        self.server = RawServer()
        self.port = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        number = self.port.getHost().port
        self.replica = Replica("i-1", "lm", "127.0.0.1", number, "z")
        self.pools = ConnectionPools(reactor, self.clock, CFG)
        self.client = make_upstream_client(reactor, self.clock, CFG, make_metrics())
        self.control = make_engine_control(reactor, self.clock, CFG)
        platform = PlatformSettings("127.0.0.1", number, 2_000)
        self.store = http_store(reactor, self.clock, platform, make_metrics())
        self.platform = platform_store(reactor, self.clock, platform, make_metrics())
        self.operator = Client(f"127.0.0.1:{number}", "")
        self.caller = Caller()
        self.item = ItemState(JobItem("i-1", "/j", {}, "", 10))

    def tearDown(self) -> Any:
        async def close() -> None:
            parts = (self.pools, self.client, self.control, self.store, self.platform)
            for part in parts:
                await cast(Any, part).close()
            for conn in self.server.connections:
                conn.abort()
            await self.port.stopListening()
            await self.clock.sleep(50)

        return Deferred.fromCoroutine(close())

    async def forward(
        self, fresh: bool, consumer: StreamConsumer | None = None, body: bytes = b""
    ) -> Result[Any, Failure]:
        deps = ForwardCallDeps(
            self.pools, decode_facts, lambda _i, _l: None, lambda _i: None, make_metrics()
        )
        due_ms = self.clock.now() + DUE_MS
        stream = consumer is not None
        call = ForwardCall(REQUEST, "POST", "/x", Headers({}), body, due_ms, fresh, stream)
        call.headers.setRawHeaders("X-Request-Id", [REQUEST])
        return await make_forward_call_sender(deps)(self.replica, call, consumer)

    async def forward_stream(self) -> Result[Any, Failure]:
        self.caller = Caller()
        stream = RelayedStream(self.caller, NO_EVENT, True, lambda: None)
        return await self.forward(True, stream)

    async def run_item(self) -> Result[Any, Failure]:
        self.item = ItemState(JobItem("i-1", "/j", {}, "", 10))
        return await self.forward(True, ItemReceiver(self.item, "v1"))

    async def send(self, path: str, stream: bool) -> Result[Any, Failure]:
        due_ms = self.clock.now() + DUE_MS
        call = Call("c1", REQUEST, "POST", path, b"{}", "application/json", stream, due_ms)
        return await self.client.send(self.replica, call, lambda _token: None)

    def readers(self) -> dict[str, Reader]:
        """Return all that reads answers, by name."""
        order = Order("o-1", 1, OrderKind.LOAD_MODEL, "m")
        etag = b'ETag: "1"\r\n'
        named = b'{"metadata":{"name":"n","revision":1},"spec":"v"}'
        page = b'{"items":[],"truncated":false,"currentRev":1}'
        lost, unavailable = StoreError.LOST, StoreError.UNAVAILABLE
        return {
            "a request on a new connection": Reader(
                lambda: self.forward(True), b"whole", may_end_by_close=True, states_id=True
            ),
            "a request on a kept connection": Reader(
                lambda: self.forward(False), b"whole", may_end_by_close=True, states_id=True
            ),
            "a stream": Reader(self.forward_stream, EVENT, may_end_by_close=True, states_id=True),
            "an item": Reader(self.run_item, EVENT, may_end_by_close=True, states_id=True),
            "a chat": Reader(lambda: self.send(CHAT, False), complete_body(), states_id=True),
            "a chat's stream": Reader(
                lambda: self.send(CHAT, True), LAST_EVENT + DONE, states_id=True
            ),
            "a plain service": Reader(
                lambda: self.send("/calls/x", False), b"whole", states_id=True
            ),
            "a load poll": Reader(
                lambda: self.client.load(self.replica), b'{"running":0,"waiting":0,"slots":4}'
            ),
            "an order": Reader(
                lambda: self.control.send_order(self.replica, order), b'{"accepted":true}'
            ),
            "a store's read": Reader(lambda: self.store.get("k"), b"v", etag, unavailable),
            "a store's write": Reader(lambda: self.store.create("k", b"v"), b"", etag, lost),
            "the platform's read": Reader(
                lambda: self.platform.get("k/n"), named, error=unavailable
            ),
            "the platform's listing": Reader(
                lambda: self.platform.list("k/", "", 10), page, error=unavailable
            ),
            "the platform's write": Reader(
                lambda: self.platform.create("k/n", b"v"), named, error=lost
            ),
            "the operator's client": Reader(lambda: self.operator.call("GET", "/status"), b"{}"),
        }

    async def refuses(self, reader: Reader, answer: bytes) -> bool:
        """Return whether a reader takes an answer for none, and passes nothing of it on."""
        answer_all(self.server, answer)
        self.caller = Caller()
        self.item = ItemState(JobItem("i-1", "/j", {}, "", 10))
        result = await reader.call()
        if isinstance(result, Ok) or reader.error not in (None, result.err_value):
            return False
        if self.caller.heads or self.caller.body or self.item.texts:
            return False
        error = result.err_value
        return not isinstance(error, Failure) or (
            error.sent is Sent.MAYBE and error.kind in (FailureKind.INVALID, FailureKind.TRUNCATED)
        )

    async def check_refused(self, answers: Callable[[Reader], list[bytes]]) -> None:
        """Check that every reader refuses all answers."""
        taken = [
            (name, answer)
            for name, reader in self.readers().items()
            for answer in answers(reader)
            if not await self.refuses(reader, answer)
        ]
        assert not taken, (len(taken), taken)

    async def check_taken(self, name: str, reader: Reader, answer: bytes) -> None:
        """Check that a reader takes an answer that the protocol allows."""
        answer_all(self.server, answer)
        result = await reader.call()
        assert isinstance(result, Ok), (name, answer, result)
