"""Listen for HTTP on one address, and report clearly when that is not possible."""

import errno
import socket
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result
from twisted.internet.error import CannotListenError

from papayapier.clock import Clock
from papayapier.entry.site import BodyLimit, CountingSite

BACKLOG: Final = 1024
MAX_BODY_BYTES: Final = 4_000_000
MAX_UPLOAD_BYTES: Final = 1_000_000_000
UPLOAD_PATH: Final = b"/v1/files"


class ListeningPort(NamedTuple):
    """Hold an open listening port; site tracks its connections."""

    port: int
    handle: Any
    site: CountingSite


def make_body_limit(body_bytes: int, upload_bytes: int = MAX_UPLOAD_BYTES) -> BodyLimit:
    """Return the limit of a request body by path; only uploads, stored on disk, may be large."""
    return lambda path: upload_bytes if path == UPLOAD_PATH else body_bytes


async def next_reactor_iteration(clock: Clock) -> None:
    """Wait for the reactor's next iteration, in which it is safe to open a port.

    The reactor polls all events of an iteration before it handles the first. If a handler
    closes a descriptor, a later event of it is delivered to the descriptor that has reused its
    number, and a port that was just opened would be closed by it.
    """
    await clock.sleep(0)


def listen_resource(
    reactor: Any, resource: Any, field: str, host: str, port: int, body_limit: BodyLimit
) -> Result[ListeningPort, str]:
    """Listen with a resource; the error names the settings field and the address."""
    site = CountingSite(resource, reactor, body_limit)
    try:
        handle = reactor.listenTCP(port, site, interface=host, backlog=BACKLOG)
    except CannotListenError as exc:
        return Err(f"{field}: cannot listen on {host}:{port}: {_reason(exc)}")
    return Ok(ListeningPort(handle.getHost().port, handle, site))


def listen_on_socket(
    reactor: Any, resource: object, sock: socket.socket, body_limit: BodyLimit
) -> ListeningPort:
    """Serve on a socket that is already listening."""
    site = CountingSite(resource, reactor, body_limit)
    handle = reactor.adoptStreamPort(sock.fileno(), socket.AF_INET, site)
    sock.close()
    return ListeningPort(handle.getHost().port, handle, site)


def _reason(exc: CannotListenError) -> str:
    cause = exc.socketError
    if getattr(cause, "errno", None) == errno.EADDRINUSE:
        return "the address is in use"
    return str(getattr(cause, "strerror", None) or cause).lower()
