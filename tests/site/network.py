"""Put proxies between one process and all others, so that a test can cut it off.

Processes learn the peer ports of others from the store and from their first message. So what goes
to and from a process behind proxies has the ports of processes replaced by those of the proxies.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

from twisted.internet import reactor as installed
from twisted.protocols import portforward

reactor: Any = installed
_ProxyServer: Any = portforward.ProxyServer
_ProxyClient: Any = portforward.ProxyClient
_ProxyClientFactory: Any = portforward.ProxyClientFactory
_ProxyFactory: Any = portforward.ProxyFactory

LOOPBACK: Final = "127.0.0.1"


class PortForward(_ProxyFactory):  # type: ignore[misc]
    """Forward connections of one port to another; there and back are pairs of replaced bytes."""

    noisy = False

    def __init__(self, port: int, target_port: int) -> None:
        super().__init__(LOOPBACK, target_port)
        self.protocol = _Caller
        self.listen_port = port
        self.there: list[tuple[bytes, bytes]] = []
        self.back: list[tuple[bytes, bytes]] = []
        self.open: set[Any] = set()
        self._listening: Any = None
        self.restore()

    def restore(self) -> None:
        """Accept connections."""
        if self._listening is None:
            self._listening = reactor.listenTCP(self.listen_port, self, interface=LOOPBACK)

    def cut(self) -> None:
        """Reset all connections and refuse new ones."""
        listening, self._listening = self._listening, None
        if listening is not None:
            listening.stopListening()
        for proto in list(self.open):
            proto.transport.abortConnection()


class _Caller(_ProxyServer):  # type: ignore[misc]
    """Forward what a caller sends."""

    def connectionMade(self) -> None:  # noqa: N802
        self.clientProtocolFactory = _TargetFactory
        self.factory.open.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.factory.open.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        super().dataReceived(_replace(data, self.factory.there))


class _Target(_ProxyClient):  # type: ignore[misc]
    """Forward what the target answers."""

    def connectionMade(self) -> None:  # noqa: N802
        self.forward = self.peer.factory
        self.forward.open.add(self)
        super().connectionMade()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.forward.open.discard(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.peer is not None:
            super().dataReceived(_replace(data, self.forward.back))


class _TargetFactory(_ProxyClientFactory):  # type: ignore[misc]
    protocol = _Target
    noisy = False


class ProcessProxies:
    """Own the proxies around one process.

    own_port is its peer port, others are those of the other processes by name. reserve returns a
    port for a proxy.
    """

    def __init__(
        self,
        store_port: int,
        own_port: int,
        others: Mapping[str, int],
        reserve: Callable[[], int],
    ) -> None:
        self.store = PortForward(reserve(), store_port)
        inward = PortForward(reserve(), own_port)
        outward = [PortForward(reserve(), port) for port in others.values()]
        self._forwards = [self.store, inward, *outward]
        own = [*_forms(own_port, inward.listen_port)]
        own_back = [*_forms(inward.listen_port, own_port)]
        shown = [
            form
            for port, forward in zip(others.values(), outward, strict=True)
            for form in _forms(port, forward.listen_port)
        ]
        self.store.there, self.store.back = own, [*shown, *own_back]
        inward.there, inward.back = [*shown, *own_back], own
        for forward in outward:
            forward.there, forward.back = own, [*shown, *own_back]

    def cut(self) -> None:
        """Cut the process off from the store and from all other processes."""
        for forward in self._forwards:
            forward.cut()

    def restore(self) -> None:
        """Let the process reach everybody again."""
        for forward in self._forwards:
            forward.restore()


def _forms(port: int, replaced_by: int) -> list[tuple[bytes, bytes]]:
    """Return a port as JSON and as msgpack, each with what replaces it."""
    return [(form(port), form(replaced_by)) for form in (_as_text, _as_msgpack)]


def _as_text(port: int) -> bytes:
    return str(port).encode()


def _as_msgpack(port: int) -> bytes:
    return b"\xcd" + port.to_bytes(2, "big")


def _replace(data: bytes, replaced: list[tuple[bytes, bytes]]) -> bytes:
    for old, new in replaced:
        data = data.replace(old, new)
    return data
