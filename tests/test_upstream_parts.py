"""Test the upstream package apart from calls: bodies, streams, load polls, orders."""

import json
import random
from itertools import pairwise
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.testing import MemoryReactorClock
from twisted.web.http_headers import Headers

from papayapier.clock import fake_clock
from papayapier.upstream.api import Failure, FailureKind, Load, Replica, Sent, Token
from papayapier.upstream.connection_pools import FORGET_AFTER_MS, ConnectionPools
from papayapier.upstream.engine_calls import (
    PREFIX_CHARS,
    parse_generation,
    shared_parts,
    streaming_body,
)
from papayapier.upstream.engine_control import Order, OrderAnswer, OrderKind, make_engine_control
from papayapier.upstream.exchange import AnswerHandler, OutgoingRequest
from papayapier.upstream.load_polls import LoadPollHandlers, make_load_polls
from papayapier.upstream.sse import StreamReader
from tests.raw_server import DONE, LAST_EVENT, stream_event, with_length
from tests.test_upstream import CFG, UpstreamTestCase, equal, reactor


@settings(derandomize=True, deadline=None, database=None, max_examples=50)
@given(st.lists(st.integers(0, 400), max_size=6), st.booleans())
def test_stream_parses_the_same_however_it_is_split(cuts: list[int], crlf: bool) -> None:
    """The tokens must not depend on how the network splits the bytes."""
    stream = b": a comment\n\n" + stream_event("a ") + stream_event("\u00e9") + LAST_EVENT + DONE
    stream = stream.replace(b"\n", b"\r\n") if crlf else stream
    tokens: list[Token] = []
    reader = StreamReader("r1", tokens.append)
    edges = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    for start, end in pairwise(edges):
        assert reader.feed(stream[start:end], 7) is None
    assert reader.end() is None
    assert reader.parsed() == ("a \u00e9b", 3, "stop")
    assert json.loads(tokens[1].data)["choices"][0]["delta"]["content"] == "\u00e9"


def test_body_keeps_the_callers_keys() -> None:
    """Keys that are not needed for streaming must reach the engine unchanged."""
    body = b'{"model":"m","prompt":"p","seed":1.50,"nested":{"a":[null]},"resume_text":"x "}'
    assert b'"seed":1.50' in streaming_body(body, "")
    sent = json.loads(streaming_body(body, "y "))
    assert sent == {**json.loads(body), "stream": True, "resume_text": "x y "}
    assert "resume_text" not in json.loads(streaming_body(b'{"model":"m"}', ""))
    assert streaming_body(b"[]", "") == b"[]"


def test_prefix_is_the_start_of_the_prompt() -> None:
    """The prefix is taken from a prompt or from the text of messages, and is bounded."""

    def prefix(**keys: Any) -> str:
        return parse_generation(json.dumps({"model": "m", **keys}).encode()).unwrap().prefix

    assert prefix(prompt="abc") == "abc"
    assert len(prefix(prompt="x" * 2 * PREFIX_CHARS)) == PREFIX_CHARS
    assert prefix(messages=[{"role": "user", "content": "hi"}]) == "user\nhi\n"
    parts = [{"type": "text", "text": "a"}, {"type": "image_url"}, {"type": "text", "text": "b"}]
    assert prefix(messages=[{"role": "user", "content": parts}]) == "user\nab\n"


@pytest.mark.parametrize(
    ("body", "at"),
    [
        (b"{", "body: "),
        (b'{"prompt":"p"}', "model: missing"),
        (b'{"model":1,"prompt":"p"}', "model: "),
        (b'{"model":"m"}', "messages: "),
        (b'{"model":"m","prompt":"p","max_tokens":"9"}', "max_tokens: "),
        (b'{"model":"m","prompt":"p","max_tokens":-1}', "max_tokens: "),
        (b'{"model":"m","messages":[{"content":"x"}]}', "messages[0].role: missing"),
        (b'{"model":"m","prompt":"p","stream":"yes"}', "stream: "),
    ],
)
def test_malformed_body_names_the_field(body: bytes, at: str) -> None:
    """The error for a malformed body must start with the invalid field."""
    error = parse_generation(body).unwrap_err()
    assert error.startswith(at), error


NO_HANDLER = AnswerHandler(
    lambda head: Ok(lambda data, now_ms: None), lambda declared: None, lambda: 0
)


class _PollRecorder:
    """Run load polls that are answered when the test does so."""

    def __init__(self) -> None:
        self.fake = fake_clock()
        self.pending: list[tuple[str, Deferred[Result[Load, Failure]]]] = []
        self.results: list[object] = []
        handlers = LoadPollHandlers(lambda _, load: self.results.append(load), self._fail)
        rand = random.Random(1)
        self.polls = make_load_polls(self.fake.clock, rand, 100, self._read, handlers)

    async def _read(self, replica: Replica) -> Result[Load, Failure]:
        answer: Deferred[Result[Load, Failure]] = Deferred()
        self.pending.append((replica.id, answer))
        return await answer

    def _fail(self, replica: Replica, failure: Failure) -> None:
        self.results.append(failure.kind)


def _replica(name: str) -> Replica:
    return Replica(name, "chat", "127.0.0.1", 1, "dc1")


def test_next_poll_is_sent_only_after_an_answer() -> None:
    """A replica that hangs must not be flooded with polls at a fixed interval."""
    recorder = _PollRecorder()
    recorder.polls.poll([_replica("a")])
    recorder.fake.jump(5_000)
    assert [name for name, _ in recorder.pending] == ["a"]
    load = Load(1, 0, 4, 5.0, 0)
    recorder.pending[0][1].callback(Ok(load))
    recorder.fake.jump(121)
    recorder.pending[1][1].callback(Err(Failure(FailureKind.TIMED_OUT, Sent.MAYBE, "")))
    recorder.fake.jump(79)
    assert len(recorder.pending) == 2
    recorder.fake.jump(42)
    assert len(recorder.pending) == 3
    assert recorder.results == [load, FailureKind.TIMED_OUT]
    recorder.polls.close()


def test_polls_follow_the_list_and_stop() -> None:
    """Only listed replicas are recorder, and no timer remains after close."""
    recorder = _PollRecorder()
    recorder.polls.poll([_replica("a"), _replica("b")])
    recorder.fake.jump(100)
    assert sorted(name for name, _ in recorder.pending) == ["a", "b"]
    recorder.polls.poll([_replica("b"), _replica("c")])
    recorder.fake.jump(100)
    assert sorted(name for name, _ in recorder.pending) == ["a", "b", "c"]
    recorder.polls.close()
    assert recorder.fake.source.getDelayedCalls() == []
    assert recorder.results == []


def test_pools_of_replaced_replicas_are_dropped() -> None:
    """Connection pools of old addresses must not accumulate when replicas are replaced."""
    fake = fake_clock()
    links = ConnectionPools(cast(Any, MemoryReactorClock)(), fake.clock, CFG)
    out = OutgoingRequest("GET", "/load", Headers(), b"", 10**9, False)
    for port in range(1, 5):
        links.run(_replica("a")._replace(port=port), out, NO_HANDLER).cancel()
        fake.jump(FORGET_AFTER_MS + 1)
    equal(links.addresses(), [("127.0.0.1", 4)])


class EngineControlTest(UpstreamTestCase):
    """Test the control calls to model engines."""

    def setUp(self) -> None:
        super().setUp()
        self.engine_control = make_engine_control(reactor, self.fake.clock, CFG)

    async def close_all(self) -> None:
        await self.engine_control.close()
        await super().close_all()

    async def send_order(self, answer: bytes) -> Any:
        self.server.answer_with(answer)
        order = Order("o1", 7, OrderKind.LOAD_MODEL, "m")
        return await self.engine_control.send_order(self.replica, order)

    async def test_order(self) -> None:
        """Acceptance, refusal, error status and a malformed answer are distinguished."""
        accepted = await self.send_order(with_length(b'{"accepted":true}'))
        equal(accepted, Ok(OrderAnswer(True, 0)))
        refused = await self.send_order(with_length(b'{"accepted":false,"fence":9}', status=409))
        equal(refused, Ok(OrderAnswer(False, 9)))
        failed = await self.send_order(with_length(b"oh", status=500))
        equal((failed.err_value.kind, failed.err_value.status), (FailureKind.STATUS, 500))
        broken = await self.send_order(with_length(b"[]"))
        equal(broken.err_value.kind, FailureKind.INVALID)

    async def test_reads(self) -> None:
        """State, models and cache events are parsed; unknown fields are ignored."""
        state = (
            b'{"models":["m"],"adapters":[],"role":"mixed","version":"1","fence":7,'
            b'"orders":["o1"],"later":"key"}'
        )
        self.server.answer_with(
            with_length(state),
            with_length(b'{"object":"list","data":[{"id":"m","object":"model"}]}'),
            with_length(b'{"events":[{"seq":3,"kind":"evicted","prefix":"p"}],"next":4}'),
        )
        found = (await self.engine_control.read_state(self.replica)).unwrap()
        equal(found, (("m",), (), "mixed", "1", 7, ("o1",)))
        equal((await self.engine_control.list_models(self.replica)).unwrap(), ("m",))
        events = (await self.engine_control.cache_events(self.replica, 2)).unwrap()
        equal(events, (((3, False, "p"),), 4))
        assert self.server.requests[2].startswith(b"GET /cache_events?since=2 ")

    async def test_silent_engine(self) -> None:
        """An order without an answer must time out, and may have been accepted all the same."""
        sending = Deferred.fromCoroutine(cast(Any, self.send_order(b"")))
        await self.server.next_request()
        self.fake.run_for(CFG.progress_ms)
        failure = (await sending).err_value
        equal(failure.sent, Sent.MAYBE)


def chat_body(*contents: str) -> bytes:
    messages = [{"role": "user", "content": content} for content in contents]
    return json.dumps({"model": "lm", "messages": messages}).encode()


@pytest.mark.parametrize(
    ("body", "count"),
    [
        (chat_body("open?"), 0),
        (chat_body("be brief", "open?"), 1),
        (chat_body("be brief", "open?", "be brief", "and now?"), 2),
        (json.dumps({"model": "lm", "prompt": "open?"}).encode(), 0),
        (json.dumps({"model": "lm", "prompt": "x" * PREFIX_CHARS + "y"}).encode(), 1),
        (b"no json", 0),
    ],
)
def test_shared_parts_of_a_body(body: bytes, count: int) -> None:
    """Guard against parts of the OpenAI-style API that no two requests have in common."""
    assert len(shared_parts(body)) == count


def test_requests_share_their_parts_but_not_their_last_message() -> None:
    """Guard against taking a request's own message for one that it shares with others."""
    one, other = shared_parts(chat_body("a", "b")), shared_parts(chat_body("a", "c", "b"))
    assert one == other[:1]
