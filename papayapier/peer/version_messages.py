"""Define the messages by which instances learn at which software version a stream began."""

from typing import NamedTuple


class StreamsBegun(NamedTuple):
    """Report streams that began at a software version of an upstream.

    streams are the request ids of the attempts that brought their first events.
    """

    upstream: str
    version: str
    streams: tuple[str, ...]


class VersionAsk(NamedTuple):
    """Request the software version at which a stream of an upstream began."""

    correlation_id: int
    upstream: str
    stream: str


class VersionTell(NamedTuple):
    """Answer VersionAsk.

    version is that of the stream, sole the only one that the upstream has had for as long as a
    stream may last; each is None if it is unknown.
    """

    correlation_id: int
    version: str | None
    sole: str | None
