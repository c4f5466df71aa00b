"""List answers that break the protocol, and build them for a server that sends raw bytes."""

import itertools
import random
import re
from collections.abc import Sequence
from typing import Final

from tests.raw_server import RawConnection, RawServer

STATUS_LINE: Final = b"HTTP/1.1 200 OK"
FIELDS: Final = b"X-Request-Id: REQUEST\r\nX-Server-Stamp: s\r\nX-Server-Load: 0,0,4\r\n"
_REQUEST_ID: Final = re.compile(rb"^x-request-id: *(\S+)", re.IGNORECASE | re.MULTILINE)

# Status lines that the protocol does not allow.
STATUS_LINES: Final = (
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 0 Trouble",
    b"HTTP/1.1 001 Trouble",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 99 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 00200 OK",
    b"HTTP/1.1 2_00 OK",
    b"HTTP/1.1 200\t OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 1000 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/1.1 0100 Continue\r\n\r\nHTTP/1.1 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/9.9 200 OK",
    b"HTTP/1.10 200 OK",
    b"HTTP/01.1 200 OK",
    b"http/1.1 200 OK",
    b"ICY/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 2OO OK",
    b"HTTP/1.1",
    b"HTTP/1.1 OK",
)

# Answers with the status 000: status line, header lines, and whether the body has a length.
UNKNOWN_STATUS: Final = (
    (b"HTTP/1.1 000 Trouble", b"", True),
    (b"HTTP/1.1 000 Trouble", b"", False),
    (b"HTTP/1.1 000", b"", True),
    (b"HTTP/1.1 000 ", b"", True),
    (b"HTTP/1.0 000 Trouble", b"", True),
    (b"HTTP/1.1 000 OK", b"", True),
    (b"\r\nHTTP/1.1 000 Trouble", b"", True),
    (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble", b"", True),
    (b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Trouble", b"", True),
    (b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 Trouble", b"", True),
    (b"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK", b"", True),
    (b"HTTP/1.1 000 Trouble", b"Transfer-Encoding: chunked\r\n", False),
    (b"HTTP/1.1 000 Trouble", b"Content-Type: text/event-stream\r\n", True),
    (b"HTTP/1.1 000 Trouble", b"X-Not-Executed: true\r\n", True),
    (b"HTTP/1.1 000 Trouble", b"Connection: close\r\n", True),
    (b"HTTP/1.1 000 Trouble", b"X-Request-Id: other\r\n", True),
)

# Header lines whose names the protocol does not allow.
NAMES: Final = (
    b"X Note: n",
    b"X-Note : n",
    b"X-Note\t: n",
    b" X-Note: n",
    b"X-No\x00te: n",
    b"X-No\x01te: n",
    b"X-No\x7fte: n",
    b"X-No\rte: n",
    b"X-N\xf6te: n",
    b"X(Note): n",
    b": n",
    b"X-Note",
    b"Content-Length : 3",
    b"Content Length: 3",
    b"Content-Length\x00: 3",
    b"Transfer-Encoding : chunked",
    b"Transfer\x01Encoding: chunked",
)

# Header lines whose values the protocol does not allow.
VALUES: Final = (
    b"X-Note: a\x00b",
    b"X-Note: a\x01b",
    b"X-Note: a\x0bb",
    b"X-Note: a\x1bb",
    b"X-Note: a\x7fb",
    b"X-Note: a\rb",
    b"X-Note: a\rSet-Cookie: b",
    b"X-Note: a\r\n b\x00c",
    b"X-Server-Load: 0,0,4\x00",
    b"Content-Type: text/\x08event-stream",
    b"Connection: cl\x00ose",
)

# Status lines and header lines that leave open where the body ends.
FRAMINGS: Final = (
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked, chunked"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: gzip, chunked"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: identity"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding:"),
    (b"HTTP/1.1 200 OK", b"Transfer-Encoding: chunked\r\nContent-Length: 3"),
    (b"HTTP/1.1 200 OK", b"Content-Length: 3\r\nTransfer-Encoding: chunked"),
    (b"HTTP/1.0 200 OK", b"Transfer-Encoding: chunked"),
    (b"HTTP/1.1 200 OK", b"Content-Length: 3\r\nContent-Length: 5"),
    (b"HTTP/1.1 200 OK", b"Content-Length: 3, 5"),
    (b"HTTP/1.1 200 OK", b"Content-Length: +3"),
    (b"HTTP/1.1 200 OK", b"Content-Length: -3"),
    (b"HTTP/1.1 200 OK", b"Content-Length: 0x3"),
    (b"HTTP/1.1 200 OK", b"Content-Length: 1_0"),
    (b"HTTP/1.1 200 OK", b"Content-Length:"),
)

# Header lines of an answer that also states the id of its own request.
OTHER_IDS: Final = (
    b"X-Request-Id: other",
    b"x-request-id: other",
    b"X-Request-Id: REQUEST\r\nX-Request-Id: other",
    b"X-Request-Id: REQUEST, other",
    b"X-Request-Id:",
)


def make_answer(
    body: bytes, status_line: bytes = STATUS_LINE, fields: bytes = b"", framed: bool = True
) -> bytes:
    """Return an answer; REQUEST stands for the id of its request, fields end with CR LF."""
    head = status_line + b"\r\n" + fields + FIELDS
    if framed:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body


def make_framed(body: bytes, status_line: bytes, fields: bytes) -> bytes:
    """Return an answer whose body is in one chunk, if its header lines mention chunks."""
    if b"chunked" in fields.lower():
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return make_answer(body, status_line, fields, framed=False)


def make_unknown_status(body: bytes, form: tuple[bytes, bytes, bool]) -> bytes:
    """Return an answer with the status 000 in one of the forms."""
    status_line, fields, framed = form
    if framed:
        return make_answer(body, status_line, fields)
    return make_framed(body, status_line, fields)


def answer_all(server: RawServer, answer: bytes) -> None:
    """Answer each request with these bytes, in which REQUEST becomes its id."""
    answer_in_turn(server, [answer])


def answer_in_turn(server: RawServer, answers: Sequence[bytes]) -> None:
    """Answer each request with the next of the answers, from the first again after the last."""
    remaining = itertools.cycle(answers)

    def respond(conn: RawConnection, head: bytes) -> None:
        conn.write(next(remaining).replace(b"REQUEST", request_id(head)))

    server.respond = respond


def draw_answer(rng: random.Random, body: bytes) -> bytes:
    """Return a whole answer whose head has one fault."""
    fault = rng.choice(("status line", "name", "value", "framing", "id"))
    if fault == "status line":
        return make_answer(body, rng.choice(STATUS_LINES))
    if fault == "framing":
        return make_framed(body, *_framing(rng))
    line = rng.choice({"name": NAMES, "value": VALUES, "id": OTHER_IDS}[fault])
    return make_answer(body, fields=line + b"\r\n")


def _framing(rng: random.Random) -> tuple[bytes, bytes]:
    status_line, line = rng.choice(FRAMINGS)
    return status_line, line + b"\r\n"


def request_id(head: bytes) -> bytes:
    """Return the id of a request, empty if it has none."""
    found = _REQUEST_ID.search(head)
    return found[1] if found else b""
