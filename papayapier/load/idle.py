"""Open idle connections, as the connection pools of callers' libraries keep them."""

from typing import Any, NamedTuple

from twisted.internet.defer import gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol


class IdleConnections(NamedTuple):
    """Hold the open idle connections."""

    protocols: list[Protocol]

    def close(self) -> None:
        """Close them all."""
        for protocol in self.protocols:
            transport: Any = protocol.transport
            if transport is not None:
                transport.abortConnection()


async def open_idle(targets: list[str], number: int) -> IdleConnections:
    """Open connections to the targets ("HOST:PORT"), round robin."""
    from twisted.internet import reactor

    opening = []
    for index in range(number):
        host, _, port = targets[index % len(targets)].rpartition(":")
        endpoint = TCP4ClientEndpoint(reactor, host, int(port))
        opening.append(connectProtocol(endpoint, Protocol()))
    return IdleConnections(await gatherResults(opening))
