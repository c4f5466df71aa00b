"""Serve the callers' routes on a loopback port, with scripted answers to requests."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from klein import Klein
from result import Ok, Result
from twisted.internet import reactor
from twisted.internet.defer import maybeDeferred

from papayapier.clock import real_clock
from papayapier.config.profiles import Profile
from papayapier.dispatch.api import OnlineRequest, OnToken
from papayapier.entry.callers import caller_auth
from papayapier.entry.online_routes import OnlineDeps, add_online_routes
from papayapier.errors import Refusal
from papayapier.listen import make_body_limit
from papayapier.listen_app import listen
from papayapier.metrics import make_metrics
from papayapier.upstream.api import Reply, Token
from tests.log_capture import LogCapture
from tests.raw_client import RawClient, connect

RunResult = Result[Reply, Refusal]
RequestHandler = Callable[[OnlineRequest, OnToken], Awaitable[RunResult]]

BODY_LIMIT = 20_000
CHAT = "X-Papayapier-Profile: chat"
GATE = "X-Papayapier-Profile: gate"
PROFILES = {
    "chat": Profile("chat", "lm", "normal", 10_000, True),
    "gate": Profile("gate", "gate", "urgent", 2_000, False),
}
ANSWER = Ok(Reply(200, "application/json", b'{"ok":1}', "a b", 2, "stop", None, 1, 2))


def question(stream: bool = False, **changes: Any) -> bytes:
    """Return the body of a chat request."""
    body = {"model": "lm", "messages": [{"role": "user", "content": "open?"}], "stream": stream}
    return json.dumps(body | changes).encode()


def token(text: str, finish: str | None = None) -> Token:
    """Return a token as an engine sends it."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return Token(text, json.dumps({"id": "x", "choices": [choice]}).encode(), 0)


async def answer(_req: OnlineRequest, _on_token: OnToken) -> RunResult:
    """Answer at once."""
    return ANSWER


class EntryWorld:
    """Own the open port, and record the received requests and the logged events."""

    def __init__(self) -> None:
        self.handler: RequestHandler = answer
        self.requests: list[OnlineRequest] = []
        self.refusing: Callable[[], Refusal | None] = lambda: None
        app = Klein()
        add_online_routes(
            app,
            OnlineDeps(
                clock=real_clock(),
                metrics=make_metrics(),
                auth=caller_auth(()),
                max_body_bytes=BODY_LIMIT,
                profile=PROFILES.get,
                upstream_names=lambda: ["gate", "lm"],
                run=self._run,
                get_refusal=lambda: self.refusing(),
            ),
        )
        net: Any = reactor
        limit = make_body_limit(BODY_LIMIT)
        self.listening = listen(net, app, "entry.port", "127.0.0.1", 0, limit).unwrap()
        self.site = self.listening.site
        self.clients: list[RawClient] = []
        self.logs = LogCapture()
        self.logs.push_application()

    async def stop(self) -> None:
        """Close everything."""
        self.logs.pop_application()
        for client in self.clients:
            client.abort()
            await client.closed
        await maybeDeferred(self.listening.handle.stopListening)
        await self.closed()

    async def closed(self) -> None:
        """Wait until the site has no connection."""
        while self.site.connections:
            await real_clock().sleep(1)

    async def _run(self, req: OnlineRequest, _key: str, on_token: OnToken) -> RunResult:
        self.requests.append(req)
        return await self.handler(req, on_token)

    async def connect(self) -> RawClient:
        """Open a connection."""
        client = await connect(self.listening.port)
        self.clients.append(client)
        return client

    async def send(self, request: bytes, until: bytes = b"}") -> RawClient:
        """Send a request on a new connection, and wait until its answer contains a text."""
        client = await self.connect()
        client.write(request)
        await client.until(until)
        return client

    async def refused(self, request: bytes) -> tuple[int, Any]:
        """Send a request that must be refused, and return the status and the error."""
        client = await self.send(request, b"}}")
        assert b"Content-Type: application/json" in client.received
        return client.status(), client.json()["error"]
