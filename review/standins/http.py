"""Serve and call HTTP/1.1 with asyncio, as far as the stand-ins need it."""

import asyncio
import contextlib
from urllib.parse import parse_qs, unquote, urlsplit

REASONS = {200: "OK", 201: "Created", 202: "Accepted"}


class Request:
    """Hold one received request."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        split = urlsplit(target)
        self.path = unquote(split.path)
        self.query = {key: values[0] for key, values in parse_qs(split.query).items()}
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers (lower case), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunk(reader):
    """Return the next chunk of a chunked body, or b"" after the last."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readuntil(b"\r\n")
    return data


async def read_body(reader, headers):
    """Return a body that has a length or is chunked."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            data = await read_chunk(reader)
            if not data:
                return b"".join(parts)
            parts.append(data)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader):
    """Return the next request of a channel, or None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, head[1], body)


def head_bytes(status, headers):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer_bytes(status, body, headers=None):
    """Return a whole answer with a length."""
    return head_bytes(status, {**(headers or {}), "Content-Length": len(body)}) + body


class Answer:
    """Hold a received answer; status 0 means that the channel ended without a whole one."""

    def __init__(self, status, headers=None, body=b"", error=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


async def call(address, method, path, headers=None, body=b"", timeout_s=8.0):
    """Send a request on a new channel and return its whole answer."""
    host, port = address
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return Answer(0, error="closed without an answer")
            status = int(head[0].split(" ")[1])
            try:
                return Answer(status, head[1], await read_body(reader, head[1]))
            except (asyncio.IncompleteReadError, ConnectionError, ValueError):
                return Answer(0, head[1], error=f"cut off after status {status}")
    except TimeoutError:
        return Answer(0, error="no answer in time")
    except OSError as exc:
        return Answer(0, error=type(exc).__name__)
    finally:
        if writer is not None:
            with contextlib.suppress(Exception):
                writer.close()
