"""Test with drawn heads that no answer outside the protocol passes the guard of heads."""

import re
from typing import Any, Final, cast

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport
from twisted.web._newclient import HTTP11ClientProtocol, Request
from twisted.web.http_headers import Headers

from papayapier.head_guard import guard_head
from tests.broken_answers import make_answer

_Protocol: Any = HTTP11ClientProtocol
_Request: Any = Request

SOUND: Final = make_answer(b"body", fields=b"Transfer-Encoding: chunked\r\n", framed=False)
SOUND_HEAD: Final = SOUND.removesuffix(b"body")
CHUNKS: Final = b"4\r\nbody\r\n0\r\n\r\n"
# Bytes that mean something in a head, or that must not stand in one.
TELLING: Final = tuple(b" \t\r\n:;,+-_/.0123456789\x00\x01\x0b\x0c\x1f\x7f\x85\xa0\xff")
NAME: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class Transport(StringTransport):
    """Record what is written, and accept that the connection is closed."""

    def abortConnection(self) -> None:  # noqa: N802
        """Do nothing; the connection has no other end."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing; nothing is sent."""


def read_head(received: bytes) -> Any:
    """Return the response that a guarded connection makes of received bytes, or None."""
    protocol = _Protocol()
    protocol.makeConnection(cast(Any, Transport)())
    guard_head(protocol)
    responses: list[Any] = []
    request = _Request(b"GET", b"/", Headers({b"Host": [b"x"]}), None)
    protocol.request(request).addCallbacks(responses.append, lambda _failure: None)
    protocol.dataReceived(received)
    return responses[0] if responses else None


@st.composite
def drawn_heads(draw: st.DrawFn) -> bytes:
    """Return a sound head, in which a few bytes are inserted, replaced or missing."""
    head = bytearray(SOUND_HEAD)
    for _ in range(draw(st.integers(1, 4))):
        # Most changes are in the status line, which is short.
        where = draw(st.one_of(st.integers(0, 20), st.integers(0, len(head) - 1)))
        part = bytes(draw(st.lists(st.sampled_from(TELLING), max_size=3)))
        head[where : where + draw(st.integers(0, 2))] = part
    return bytes(head)


def check_head(received: bytes) -> None:
    """Check that what is read of a head is allowed, and stood in the last head received."""
    response = read_head(received)
    if response is None:
        return
    assert 200 <= response.code <= 599, (received, response.code)
    assert response.version[:2] == (b"HTTP", 1), received
    assert b"HTTP/1.%d %03d" % (response.version[2], response.code) in received
    for name, values in response.headers.getAllRawHeaders():
        assert NAME.fullmatch(name) is not None, (received, name)
        for value in values:
            assert CONTROL.search(value) is None, (received, value)


@settings(max_examples=1_500, deadline=None)
@given(drawn_heads())
def test_no_drawn_head_outside_the_protocol_is_read(head: bytes) -> None:
    # Failure: a broken head passes the parser, and callers get what it states.
    check_head(head + CHUNKS)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=60))
def test_no_drawn_bytes_outside_the_protocol_are_read(received: bytes) -> None:
    # Failure: bytes that are no answer pass for one.
    check_head(b"HTTP/1.1 " + received + b"\r\n\r\n")
    check_head(received)


def test_the_sound_head_is_read() -> None:
    # Failure: the tests with drawn heads read nothing.
    response = read_head(SOUND_HEAD + CHUNKS)
    assert response is not None
    assert cast(int, response.code) == 200
