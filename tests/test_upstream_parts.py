"""Test the parts of the upstream package that need no call: bodies, streams, polls, orders."""

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
from papayapier.upstream.engine_calls import PREFIX_CHARS, parse_generation, streaming_body
from papayapier.upstream.exchange import AnswerHandler, OutgoingRequest
from papayapier.upstream.links import FORGET_AFTER_MS, Links
from papayapier.upstream.orders import Order, OrderAnswer, OrderKind, make_orders
from papayapier.upstream.reports import OnReport, make_reports
from papayapier.upstream.sse import StreamReader
from tests.raw_server import DONE, LAST, framed, piece
from tests.test_upstream import CFG, UpstreamTestCase, equal, reactor


@settings(derandomize=True, deadline=None, database=None, max_examples=50)
@given(st.lists(st.integers(0, 400), max_size=6), st.booleans())
def test_stream_reads_the_same_wherever_the_network_cuts_it(cuts: list[int], crlf: bool) -> None:
    stream = b": a comment\n\n" + piece("a ") + piece("\u00e9") + LAST + DONE
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
    body = b'{"model":"m","prompt":"p","seed":1.50,"nested":{"a":[null]},"resume_text":"x "}'
    assert b'"seed":1.50' in streaming_body(body, "")
    sent = json.loads(streaming_body(body, "y "))
    assert sent == {**json.loads(body), "stream": True, "resume_text": "x y "}
    assert "resume_text" not in json.loads(streaming_body(b'{"model":"m"}', ""))
    assert streaming_body(b"[]", "") == b"[]"


def test_prefix_is_the_start_of_the_prompt() -> None:
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
    error = parse_generation(body).unwrap_err()
    assert error.startswith(at), error


NO_HANDLER = AnswerHandler(lambda head: Ok(lambda data, now_ms: None), lambda declared: None)


class _Polled:
    """Answer load questions when the test says so."""

    def __init__(self) -> None:
        self.fake = fake_clock()
        self.asked: list[tuple[str, Deferred[Result[Load, Failure]]]] = []
        self.seen: list[object] = []
        on_report = OnReport(lambda _, load: self.seen.append(load), self._fail)
        rand = random.Random(1)
        self.reports = make_reports(self.fake.clock, rand, 100, self._read, on_report)

    async def _read(self, replica: Replica) -> Result[Load, Failure]:
        answer: Deferred[Result[Load, Failure]] = Deferred()
        self.asked.append((replica.id, answer))
        return await answer

    def _fail(self, replica: Replica, failure: Failure) -> None:
        self.seen.append(failure.kind)


def _replica(name: str) -> Replica:
    return Replica(name, "chat", "127.0.0.1", 1, "dc1")


def test_polls_ask_again_only_after_an_answer() -> None:
    # Symptom: a hung replica is flooded with polls. Sequence: it does not answer, and every
    # interval another poll is sent. Cause: polls that follow a fixed beat.
    polled = _Polled()
    polled.reports.poll([_replica("a")])
    polled.fake.advance(5_000)
    assert [name for name, _ in polled.asked] == ["a"]
    load = Load(1, 0, 4, 5.0, 0)
    polled.asked[0][1].callback(Ok(load))
    polled.fake.advance(121)
    polled.asked[1][1].callback(Err(Failure(FailureKind.SILENT, Sent.MAYBE, "")))
    polled.fake.advance(79)
    assert len(polled.asked) == 2
    polled.fake.advance(42)
    assert len(polled.asked) == 3
    assert polled.seen == [load, FailureKind.SILENT]
    polled.reports.close()


def test_polls_follow_the_list_and_stop() -> None:
    polled = _Polled()
    polled.reports.poll([_replica("a"), _replica("b")])
    polled.fake.advance(100)
    assert sorted(name for name, _ in polled.asked) == ["a", "b"]
    polled.reports.poll([_replica("b"), _replica("c")])
    polled.fake.advance(100)
    assert sorted(name for name, _ in polled.asked) == ["a", "b", "c"]
    polled.reports.close()
    assert polled.fake.source.getDelayedCalls() == []
    assert polled.seen == []


def test_pools_of_replaced_replicas_are_dropped() -> None:
    # Symptom: memory grows for days. Sequence: replicas are replaced at new addresses, and
    # the pools of the old ones stay. Cause: nothing says that an address will not come back.
    fake = fake_clock()
    links = Links(cast(Any, MemoryReactorClock)(), fake.clock, CFG)
    out = OutgoingRequest("GET", "/load", Headers(), b"", 10**9, False)
    for port in range(1, 5):
        links.run(_replica("a")._replace(port=port), out, NO_HANDLER).cancel()
        fake.advance(FORGET_AFTER_MS + 1)
    equal(links.addresses(), [("127.0.0.1", 4)])


class OrdersTest(UpstreamTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.orders = make_orders(reactor, self.fake.clock, CFG)

    async def close_all(self) -> None:
        await self.orders.close()
        await super().close_all()

    async def give(self, answer: bytes) -> Any:
        self.server.answer_with(answer)
        order = Order("o1", 7, OrderKind.LOAD_MODEL, "m")
        return await self.orders.send_order(self.replica, order)

    async def test_order(self) -> None:
        accepted = await self.give(framed(b'{"accepted":true}'))
        equal(accepted, Ok(OrderAnswer(True, 0)))
        refused = await self.give(framed(b'{"accepted":false,"fence":9}', status=409))
        equal(refused, Ok(OrderAnswer(False, 9)))
        failed = await self.give(framed(b"oh", status=500))
        equal((failed.err_value.kind, failed.err_value.status), (FailureKind.STATUS, 500))
        broken = await self.give(framed(b"[]"))
        equal(broken.err_value.kind, FailureKind.BROKEN)

    async def test_reads(self) -> None:
        state = (
            b'{"models":["m"],"adapters":[],"role":"mixed","version":"1","fence":7,'
            b'"orders":["o1"],"later":"key"}'
        )
        self.server.answer_with(
            framed(state),
            framed(b'{"object":"list","data":[{"id":"m","object":"model"}]}'),
            framed(b'{"events":[{"seq":3,"kind":"evicted","prefix":"p"}],"next":4}'),
        )
        found = (await self.orders.read_state(self.replica)).unwrap()
        equal(found, (("m",), (), "mixed", "1", 7, ("o1",)))
        equal((await self.orders.list_models(self.replica)).unwrap(), ("m",))
        events = (await self.orders.cache_events(self.replica, 2)).unwrap()
        equal(events, (((3, False, "p"),), 4))
        assert self.server.requests[2].startswith(b"GET /cache_events?since=2 ")

    async def test_silent_engine(self) -> None:
        # Symptom: the controller waits for ever. Sequence: an order is given, no answer
        # comes. Cause: no time limit; the order may have been taken all the same.
        giving = Deferred.fromCoroutine(cast(Any, self.give(b"")))
        await self.server.next_request()
        self.fake.elapse(CFG.progress_ms)
        failure = (await giving).err_value
        equal(failure.sent, Sent.MAYBE)
