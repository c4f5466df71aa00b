"""Provide a test case that calls stand-ins over real sockets."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeVar, cast

import treq
from twisted.internet import reactor as installed_reactor
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase
from twisted.web.client import HTTPConnectionPool, ResponseFailed, ResponseNeverReceived

from papayapier.clock import real_clock

REACTOR = cast(Any, installed_reactor)
HOST = "127.0.0.1"
CUT_ERRORS = (ResponseNeverReceived, ResponseFailed)

T = TypeVar("T")


class HttpResponse(NamedTuple):
    """Hold a complete response."""

    status: int
    headers: dict[str, str]
    text: str

    @property
    def value(self) -> Any:
        return json.loads(self.text)


class StandInCase(TestCase):
    """Call stand-ins and wait for conditions such as their counters."""

    timeout = 20

    def setUp(self) -> None:
        self.clock = real_clock()
        self.pool = HTTPConnectionPool(REACTOR, persistent=False)

    async def call(
        self, port: int, method: str, path: str, body: Any = b"", **kw: Any
    ) -> HttpResponse:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        kw.setdefault("pool", self.pool)
        url = f"http://{HOST}:{port}{path}"
        response = await treq.request(method, url, data=data, **kw)
        text = await response.text()
        headers = response.headers.getAllRawHeaders()
        lower_headers = {key.decode().lower(): values[0].decode() for key, values in headers}
        return HttpResponse(response.code, lower_headers, text)

    def start_call(self, call: Awaitable[T]) -> Deferred[T]:
        """Start a call, which is cancelled at the end of the test."""
        done = Deferred.fromCoroutine(cast(Any, call))
        self.addCleanup(self.abandon, done)
        return done

    async def abandon(self, done: Deferred[Any]) -> None:
        done.addErrback(lambda _: None)
        done.cancel()
        await done

    async def expect_cut(self, call: Awaitable[Any]) -> None:
        """Check that a call fails because its connection is closed."""
        try:
            await call
        except CUT_ERRORS:
            return
        raise AssertionError("the call got a response")

    async def wait_until(self, condition: Callable[[], object]) -> None:
        while not condition():
            await self.clock.sleep(1)
