"""Listen for HTTP on one address, and tell clearly when that is not possible."""

import errno
from typing import Any, Final, NamedTuple

from klein import Klein
from result import Err, Ok, Result
from twisted.internet.error import CannotListenError
from twisted.web.server import Site

IDLE_TIMEOUT_S: Final = 75


class Listening(NamedTuple):
    """Hold an open listening port; site knows its connections."""

    port: int
    handle: Any
    site: Site


def listen(reactor: Any, app: Klein, field: str, host: str, port: int) -> Result[Listening, str]:
    """Listen; the error names the settings field and the address."""
    site = Site(app.resource(), timeout=IDLE_TIMEOUT_S)
    site.noisy = False
    try:
        handle = reactor.listenTCP(port, site, interface=host, backlog=1024)
    except CannotListenError as exc:
        return Err(f"{field}: cannot listen on {host}:{port}: {_why(exc)}")
    return Ok(Listening(handle.getHost().port, handle, site))


def _why(exc: CannotListenError) -> str:
    cause = exc.socketError
    if getattr(cause, "errno", None) == errno.EADDRINUSE:
        return "the address is in use"
    return str(getattr(cause, "strerror", None) or cause).lower()
