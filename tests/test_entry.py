"""Test the entry over real sockets, with scripted answers to its requests."""

import re
import socket

from result import Err
from twisted.internet.defer import CancelledError, Deferred
from twisted.trial.unittest import TestCase

from papayapier import events
from papayapier.clock import real_clock
from papayapier.dispatch.api import OnlineRequest, OnToken
from papayapier.entry import chat
from papayapier.errors import ErrorKind, not_run_refusal, unknown_refusal
from tests.entry_world import ANSWER, BODY_LIMIT, CHAT, GATE, EntryWorld, RunResult, question, token
from tests.raw_client import post


def chunked(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


class TestEntry(TestCase):
    """Serve the online routes on a loopback port."""

    timeout = 30

    def setUp(self) -> None:
        self.world = EntryWorld()
        self.addCleanup(lambda: Deferred.fromCoroutine(self.world.stop()))

    def test_refusals_name_the_error(self) -> Deferred[None]:
        """Guard against refusals from which a caller cannot tell what to correct."""
        long_name = "X-Papayapier-Caller: " + "x" * 65
        cases: list[tuple[bytes, int, str, str]] = [
            (post("/v1/chat/completions", question()), 400, "unknown_profile", "X-Papayapier-Pro"),
            (post("/v1/chat/completions", question(), CHAT, long_name), 400, "bad_request", "X-P"),
            (
                post("/v1/chat/completions", question(), CHAT, "X-Papayapier-Due-Ms: 5s"),
                400,
                "bad_request",
                "X-Papayapier-Due-Ms: expected whole milliseconds, got 5s",
            ),
            (
                post("/v1/chat/completions", question(), CHAT, "X-Papayapier-Due-Ms: \xb2"),
                400,
                "bad_request",
                "X-Papayapier-Due-Ms",
            ),
            (post("/v1/chat/completions", b"{", CHAT), 400, "bad_request", "body"),
            (post("/v1/completions", b'{"model":"lm"}', CHAT), 400, "bad_request", "messages: "),
            (
                post("/v1/chat/completions", question(max_tokens="many"), CHAT),
                400,
                "bad_request",
                "max_tokens",
            ),
            (post("/v1/chat/completions", question(), GATE), 400, "bad_request", "model: lm"),
            (post("/services/gate/x", b"", CHAT), 400, "bad_request", "profile chat is for"),
            (post("/v1/elsewhere", b"", CHAT), 404, "not_found", "POST /v1/elsewhere"),
            (post("/v1/models", b"", CHAT), 404, "not_found", "no route takes POST /v1/models"),
            (post("/services/gate/%ff", b"", GATE), 400, "bad_request", "URL"),
        ]

        async def run() -> None:
            for request, status, kind, reason in cases:
                got, error = await self.world.refused(request)
                assert (got, error["kind"], error["outcome"]) == (status, kind, "not_run"), error
                assert error["reason"].startswith(reason) or reason in error["reason"], error
            assert self.world.requests == []

        return Deferred.fromCoroutine(run())

    def test_large_body_is_refused_unread(self) -> Deferred[None]:
        """Guard against full memory or disks, and reset connections, by bodies over the limit.

        Twisted buffers the complete body before any route can check its length. If the server
        closes while the caller is still sending, the kernel discards the answer.
        """
        head = "POST /services/gate/x HTTP/1.1\r\nHost: x\r\n" + GATE + "\r\n"
        announced = head + f"Content-Length: {BODY_LIMIT + 1}\r\nExpect: 100-continue\r\n\r\n"
        in_chunks = head + "Transfer-Encoding: chunked\r\n\r\n"
        part = b"x" * 9_000

        async def run() -> None:
            for request in (announced.encode(), in_chunks.encode() + chunked(part, part, part)):
                client = await self.world.send(request, b"}}")
                assert (client.status(), client.json()["error"]["kind"]) == (413, "too_large")
                assert b"Connection: close" in client.received
                assert b"100 Continue" not in client.received
                for _ in range(200):
                    client.write(part)
                await client.closed
            assert self.world.requests == []
            assert self.world.site.open_requests() == 0

        return Deferred.fromCoroutine(run())

    def test_bodies_within_the_limit_arrive_complete(self) -> Deferred[None]:
        """Guard against truncated bodies and against refusing bodies of the maximum size."""
        part = b"y" * (BODY_LIMIT // 2)
        head = "POST /services/gate/x HTTP/1.1\r\nHost: x\r\n" + GATE + "\r\n"
        in_chunks = (head + "Transfer-Encoding: chunked\r\n\r\n").encode()

        async def run() -> None:
            client = await self.world.send(
                in_chunks + chunked(part, part) + b"0\r\n\r\n", b'{"ok":1}'
            )
            client.received.clear()
            client.write(post("/services/gate/x?a=%20b", part + part, GATE))
            await client.until(b'{"ok":1}')
            assert [req.body for req in self.world.requests] == [part + part] * 2
            assert self.world.requests[1].path == "/x?a=%20b"

        return Deferred.fromCoroutine(run())

    def test_unexpected_exception_is_reported_as_unknown(self) -> Deferred[None]:
        """Guard against an answer that does not state whether the request may have run.

        Twisted sends an HTML page with status 500 for every unexpected exception. The exception
        is raised before or after the stream to the caller has begun.
        """

        async def crash(_req: OnlineRequest, on_token: OnToken) -> RunResult:
            if started:
                on_token(token("a"))
            raise ZeroDivisionError

        async def run() -> None:
            self.world.handler = crash
            status, error = await self.world.refused(post("/services/gate/x", b"", GATE))
            assert (status, error["kind"], error["outcome"]) == (500, "internal", "unknown")
            started.append(True)
            body = question(stream=True)
            client = await self.world.send(post("/v1/chat/completions", body, CHAT), b"0\r\n\r\n")
            assert b'"outcome":"unknown"' in client.received
            assert b"[DONE]" not in client.received
            crashed = self.world.logs.fields_of(events.REQUEST_CRASHED)
            assert [event["error"] for event in crashed] == ["ZeroDivisionError()"] * 2

        started: list[bool] = []
        return Deferred.fromCoroutine(run())

    def test_cancellation_below_is_answered_beside_a_present_caller(self) -> Deferred[None]:
        """Guard against a request without an answer when its caller does not cancel it."""

        async def cancelled(_req: OnlineRequest, _on_token: OnToken) -> RunResult:
            raise CancelledError

        async def refused(_req: OnlineRequest, _on_token: OnToken) -> RunResult:
            return Err(unknown_refusal(ErrorKind.CANCELLED, "cancelled"))

        async def run() -> None:
            for handler, kind in ((cancelled, "internal"), (refused, "cancelled")):
                self.world.handler = handler
                _, error = await self.world.refused(post("/services/gate/x", b"", GATE))
                assert (error["kind"], error["outcome"]) == (kind, "unknown")

        return Deferred.fromCoroutine(run())

    def test_stream_has_its_end_mark_only_when_complete(self) -> Deferred[None]:
        """Guard against a truncated stream that looks complete."""
        results: list[RunResult] = [
            ANSWER,
            Err(unknown_refusal(ErrorKind.UPSTREAM_FAILED, "it broke off")),
        ]

        async def stream(_req: OnlineRequest, on_token: OnToken) -> RunResult:
            on_token(token("a"))
            on_token(token(" b"))
            return results.pop(0)

        async def run() -> None:
            self.world.handler = stream
            request = post("/v1/chat/completions", question(stream=True), CHAT)
            complete = await self.world.send(request, b"0\r\n\r\n")
            assert b"text/event-stream" in complete.received
            assert complete.received.count(b"data: {") == 3
            assert b'"delta":{},"finish_reason":"stop"' in complete.received
            assert b"data: [DONE]\n\n" in complete.received
            broken = await self.world.send(request, b"0\r\n\r\n")
            assert broken.received.count(b"data: {") == 3
            assert b'"kind":"upstream_failed","outcome":"unknown"' in broken.received
            assert b"[DONE]" not in broken.received

        return Deferred.fromCoroutine(run())

    def test_finish_reason_is_not_sent_twice(self) -> Deferred[None]:
        """Guard against a second finish event after that of the engine."""

        async def stream(_req: OnlineRequest, on_token: OnToken) -> RunResult:
            on_token(token("a", "stop"))
            return ANSWER

        async def run() -> None:
            self.world.handler = stream
            request = post("/v1/chat/completions", question(stream=True), CHAT)
            complete = await self.world.send(request, b"0\r\n\r\n")
            assert complete.received.count(b'"stop"') == 1

        return Deferred.fromCoroutine(run())

    def test_caller_that_does_not_read_is_disconnected(self) -> Deferred[None]:
        """Guard against buffering the answers of callers that stop reading without a bound."""
        finished: Deferred[None] = Deferred()
        text = token("x" * 1_000)
        written = [0]

        async def stream(_req: OnlineRequest, on_token: OnToken) -> RunResult:
            try:
                while True:
                    on_token(text)
                    written[0] += len(text.data)
                    await real_clock().sleep(0)
            finally:
                finished.callback(None)

        async def run() -> None:
            self.world.handler = stream
            client = await self.world.send(
                post("/v1/chat/completions", question(stream=True), CHAT), b"data:"
            )
            client.stop_reading()
            await finished
            (slow,) = self.world.logs.fields_of(events.CALLER_SLOW)
            assert slow["unread_bytes"] <= chat.MAX_UNREAD_BYTES + 2 * len(text.data)
            await self.world.closed()
            assert self.world.logs.fields_of(events.CALLER_GONE)

        return Deferred.fromCoroutine(run())

    def test_slow_caller_gets_its_stream_complete_and_in_order(self) -> Deferred[None]:
        """Guard against missing or reordered events of a stream for slow callers.

        The kernel accepts only a part of an event, and more events follow at once. Bytes written
        directly to the socket must wait for those in the transport's buffer.
        """
        count = 1_500
        paused: Deferred[None] = Deferred()

        async def stream(_req: OnlineRequest, on_token: OnToken) -> RunResult:
            (conn,) = self.world.site.connections
            conn.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            on_token(token("<0>"))
            await paused
            for number in range(1, count):
                on_token(token(f"<{number}>"))
            assert conn.transport.dataBuffer or conn.transport._tempDataLen
            return ANSWER

        async def run() -> None:
            self.world.handler = stream
            client = await self.world.connect()
            client.shrink_receive_buffer()
            client.write(post("/v1/chat/completions", question(stream=True), CHAT))
            await client.until(b"<0>")
            client.stop_reading()
            paused.callback(None)
            client.resume_reading()
            await client.until(b"0\r\n\r\n")
            seen = [int(part) for part in re.findall(rb"<(\d+)>", client.received)]
            assert seen == list(range(count))
            assert client.received.count(b"[DONE]") == 1

        return Deferred.fromCoroutine(run())

    def test_disconnect_of_the_caller_cancels_its_request(self) -> Deferred[None]:
        """Guard against requests that run for callers that have disconnected."""
        begun: Deferred[None] = Deferred()
        cancelled: Deferred[None] = Deferred()

        async def wait(_req: OnlineRequest, _on_token: OnToken) -> RunResult:
            begun.callback(None)
            await Deferred(lambda _: cancelled.callback(None))
            return ANSWER

        async def run() -> None:
            self.world.handler = wait
            client = await self.world.connect()
            client.write(post("/services/gate/x", b"", GATE))
            await begun
            client.abort()
            await cancelled
            await self.world.closed()
            assert self.world.logs.fields_of(events.CALLER_GONE)

        return Deferred.fromCoroutine(run())

    def test_leaving_instance_refuses_as_not_run(self) -> Deferred[None]:
        """Guard against an unknown outcome for requests refused during a planned stop."""

        async def run() -> None:
            leaving = not_run_refusal(ErrorKind.LEAVING, "the instance is shutting down", 250)
            self.world.refusing = lambda: leaving
            status, error = await self.world.refused(post("/services/gate/x", b"", GATE))
            assert (status, error["kind"], error["outcome"]) == (503, "leaving", "not_run")

        return Deferred.fromCoroutine(run())
