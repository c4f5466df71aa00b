"""Listen for HTTP on one address, and tell clearly when that is not possible."""

import errno
import socket
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.error import CannotListenError

from papayapier.clock import Clock
from papayapier.entry.site import BodyLimit, CountingSite

BACKLOG: Final = 1024
BODY_BYTES: Final = 4_000_000
UPLOAD_BYTES: Final = 1_000_000_000
UPLOAD_PATH: Final = b"/v1/files"


class Listening(NamedTuple):
    """Hold an open listening port; site knows its connections."""

    port: int
    handle: Any
    site: CountingSite


def make_body_limit(body_bytes: int, upload_bytes: int = UPLOAD_BYTES) -> BodyLimit:
    """Bound bodies; only an uploaded file may be large, and is kept on disk."""
    return lambda path: upload_bytes if path == UPLOAD_PATH else body_bytes


async def next_turn(clock: Clock) -> None:
    """Return in the reactor's next turn, in which a port may be opened.

    The events of a turn are read before the first of them is handled. One of a descriptor that was
    closed meanwhile goes to whatever has its number then, and a port is closed by it.
    """
    await clock.sleep(0)


def listen_resource(
    reactor: Any, resource: Any, field: str, host: str, port: int, body_limit: BodyLimit
) -> Result[Listening, str]:
    """Listen with any resource; the error names the settings field and the address."""
    site = CountingSite(resource, reactor, body_limit)
    try:
        handle = reactor.listenTCP(port, site, interface=host, backlog=BACKLOG)
    except CannotListenError as exc:
        return Err(f"{field}: cannot listen on {host}:{port}: {_why(exc)}")
    return Ok(Listening(handle.getHost().port, handle, site))


def adopt(reactor: Any, resource: object, sock: socket.socket, body_limit: BodyLimit) -> Listening:
    """Serve a socket that listens already."""
    site = CountingSite(resource, reactor, body_limit)
    handle = reactor.adoptStreamPort(sock.fileno(), socket.AF_INET, site)
    sock.close()
    return Listening(handle.getHost().port, handle, site)


def _why(exc: CannotListenError) -> str:
    cause = exc.socketError
    if getattr(cause, "errno", None) == errno.EADDRINUSE:
        return "the address is in use"
    return str(getattr(cause, "strerror", None) or cause).lower()
