"""Describe the part of a twisted HTTP request that the routes use.

twisted's own IRequest is a zope interface without types, which the type checker cannot use.
"""

from typing import IO, Any, Protocol

from twisted.internet.defer import Deferred


class WebRequest(Protocol):
    """Describe an HTTP request and the answer to it."""

    method: bytes
    uri: bytes
    path: bytes
    transport: Any
    args: dict[bytes, list[bytes]]
    content: IO[bytes]

    def getHeader(self, key: str) -> str | None:  # noqa: N802
        """Return a header of the request."""

    def setHeader(self, name: bytes, value: bytes) -> None:  # noqa: N802
        """Set a header of the answer."""

    def setResponseCode(self, code: int) -> None:  # noqa: N802
        """Set the status of the answer."""

    def write(self, data: bytes) -> None:
        """Send a part of the answer."""

    def write_now(self, data: bytes) -> None:
        """Send a part of a streamed answer without waiting for the reactor."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Set the producer that is paused while the caller does not keep up."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Remove the producer."""

    def notifyFinish(self) -> Deferred[None]:  # noqa: N802
        """Return a Deferred that fails when the connection is lost first."""
