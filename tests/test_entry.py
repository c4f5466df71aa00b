"""Test what callers see of the entry over real sockets, with scripted work behind it."""

import re
import socket

from result import Err
from twisted.internet.defer import Deferred
from twisted.trial.unittest import TestCase

from papayapier import events
from papayapier.clock import real_clock
from papayapier.dispatch.api import OnlineRequest, OnToken
from papayapier.entry import chat
from papayapier.errors import ErrorKind, not_run, unknown
from tests.entry_world import ANSWER, BODY_LIMIT, CHAT, GATE, Ended, EntryWorld, question, token
from tests.raw_client import post


def chunked(*parts: bytes) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


class TestEntry(TestCase):
    """Serve the online routes on a loopback port."""

    timeout = 30

    def setUp(self) -> None:
        self.world = EntryWorld()
        self.addCleanup(lambda: Deferred.fromCoroutine(self.world.stop()))

    def test_refusals_name_what_is_wrong(self) -> Deferred[None]:
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
            assert self.world.asked == []

        return Deferred.fromCoroutine(run())

    def test_large_body_is_refused_unread(self) -> Deferred[None]:
        # Symptom: an instance's memory or disk fills, and the caller sees a reset connection.
        # Sequence: a caller announces, or sends in chunks, a body over the limit.
        # Cause: the library keeps the whole body before any route can look at its length;
        # closing while the caller still sends makes the kernel drop the answer.
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
            assert self.world.asked == []
            assert self.world.site.open_requests() == 0

        return Deferred.fromCoroutine(run())

    def test_bodies_within_the_limit_arrive_whole(self) -> Deferred[None]:
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
            assert [req.body for req in self.world.asked] == [part + part] * 2
            assert self.world.asked[1].path == "/x?a=%20b"

        return Deferred.fromCoroutine(run())

    def test_unexpected_exception_is_told_as_unknown(self) -> Deferred[None]:
        # Symptom: a bare HTML page with status 500, from which nobody learns whether a pass
        # was issued.
        # Sequence: something in the instance raises while a request runs, before or after
        # the stream to the caller has begun.
        # Cause: the library's own page was sent for every unexpected exception.
        async def crash(_req: OnlineRequest, on_token: OnToken) -> Ended:
            if started:
                on_token(token("a"))
            raise ZeroDivisionError

        async def run() -> None:
            self.world.work = crash
            status, error = await self.world.refused(post("/services/gate/x", b"", GATE))
            assert (status, error["kind"], error["outcome"]) == (500, "internal", "unknown")
            started.append(True)
            body = question(stream=True)
            client = await self.world.send(post("/v1/chat/completions", body, CHAT), b"0\r\n\r\n")
            assert b'"outcome":"unknown"' in client.received
            assert b"[DONE]" not in client.received
            crashed = self.world.logs.fields(events.REQUEST_CRASHED)
            assert [one["error"] for one in crashed] == ["ZeroDivisionError()"] * 2

        started: list[bool] = []
        return Deferred.fromCoroutine(run())

    def test_stream_has_its_end_mark_only_when_whole(self) -> Deferred[None]:
        ends: list[Ended] = [ANSWER, Err(unknown(ErrorKind.UPSTREAM_FAILED, "it broke off"))]

        async def stream(_req: OnlineRequest, on_token: OnToken) -> Ended:
            on_token(token("a"))
            on_token(token(" b"))
            return ends.pop(0)

        async def run() -> None:
            self.world.work = stream
            request = post("/v1/chat/completions", question(stream=True), CHAT)
            whole = await self.world.send(request, b"0\r\n\r\n")
            assert b"text/event-stream" in whole.received
            assert whole.received.count(b"data: {") == 3
            assert b'"delta":{},"finish_reason":"stop"' in whole.received
            assert b"data: [DONE]\n\n" in whole.received
            broken = await self.world.send(request, b"0\r\n\r\n")
            assert broken.received.count(b"data: {") == 3
            assert b'"kind":"upstream_failed","outcome":"unknown"' in broken.received
            assert b"[DONE]" not in broken.received

        return Deferred.fromCoroutine(run())

    def test_end_of_a_stream_is_not_told_twice(self) -> Deferred[None]:
        async def stream(_req: OnlineRequest, on_token: OnToken) -> Ended:
            on_token(token("a", "stop"))
            return ANSWER

        async def run() -> None:
            self.world.work = stream
            request = post("/v1/chat/completions", question(stream=True), CHAT)
            whole = await self.world.send(request, b"0\r\n\r\n")
            assert whole.received.count(b'"stop"') == 1

        return Deferred.fromCoroutine(run())

    def test_caller_that_does_not_read_is_cut_off(self) -> Deferred[None]:
        # Symptom: an instance grows by the whole answers of callers that read nothing.
        # Sequence: a caller asks for a stream and stops reading; tokens go on coming.
        # Cause: what the transport can't send is kept without bound.
        ended: Deferred[None] = Deferred()
        text = token("x" * 1_000)
        written = [0]

        async def stream(_req: OnlineRequest, on_token: OnToken) -> Ended:
            try:
                while True:
                    on_token(text)
                    written[0] += len(text.data)
                    await real_clock().sleep(0)
            finally:
                ended.callback(None)

        async def run() -> None:
            self.world.work = stream
            client = await self.world.send(
                post("/v1/chat/completions", question(stream=True), CHAT), b"data:"
            )
            client.stop_reading()
            await ended
            (slow,) = self.world.logs.fields(events.CALLER_SLOW)
            assert slow["unread_bytes"] <= chat.MAX_UNREAD_BYTES + 2 * len(text.data)
            await self.world.closed()
            assert self.world.logs.fields(events.CALLER_GONE)

        return Deferred.fromCoroutine(run())

    def test_slow_caller_gets_its_stream_whole_and_in_order(self) -> Deferred[None]:
        # Symptom: events of a stream are missing or out of order for slow callers.
        # Sequence: the kernel takes a part of an event only; more events follow at once.
        # Cause: bytes sent past the library's buffer must wait for what is in it.
        count = 1_500
        paused: Deferred[None] = Deferred()

        async def stream(_req: OnlineRequest, on_token: OnToken) -> Ended:
            (conn,) = self.world.site.connections
            conn.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            on_token(token("<0>"))
            await paused
            for number in range(1, count):
                on_token(token(f"<{number}>"))
            assert conn.transport.dataBuffer or conn.transport._tempDataLen
            return ANSWER

        async def run() -> None:
            self.world.work = stream
            client = await self.world.connect()
            client.shrink()
            client.write(post("/v1/chat/completions", question(stream=True), CHAT))
            await client.until(b"<0>")
            client.stop_reading()
            paused.callback(None)
            client.go_on_reading()
            await client.until(b"0\r\n\r\n")
            seen = [int(part) for part in re.findall(rb"<(\d+)>", client.received)]
            assert seen == list(range(count))
            assert client.received.count(b"[DONE]") == 1

        return Deferred.fromCoroutine(run())

    def test_caller_that_leaves_cancels_its_work(self) -> Deferred[None]:
        begun: Deferred[None] = Deferred()
        cancelled: Deferred[None] = Deferred()

        async def wait(_req: OnlineRequest, _on_token: OnToken) -> Ended:
            begun.callback(None)
            await Deferred(lambda _: cancelled.callback(None))
            return ANSWER

        async def run() -> None:
            self.world.work = wait
            client = await self.world.connect()
            client.write(post("/services/gate/x", b"", GATE))
            await begun
            client.abort()
            await cancelled
            await self.world.closed()
            assert self.world.logs.fields(events.CALLER_GONE)

        return Deferred.fromCoroutine(run())

    def test_leaving_instance_refuses_truthfully(self) -> Deferred[None]:
        async def run() -> None:
            leaving = not_run(ErrorKind.LEAVING, "the instance is shutting down", 250)
            self.world.refusing = lambda: leaving
            status, error = await self.world.refused(post("/services/gate/x", b"", GATE))
            assert (status, error["kind"], error["outcome"]) == (503, "leaving", "not_run")

        return Deferred.fromCoroutine(run())
