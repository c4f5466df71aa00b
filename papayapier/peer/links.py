"""Hold the outgoing connections: permanent ones to neighbours, temporary ones to others.

In a bounded topology most instances are not neighbours, but the writer of a claim may be any
of them. A temporary connection is opened by the first message and closed after it has been
idle for a while, so that the number of descriptors stays bounded by what is in use.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from papayapier.clock import Millis
from papayapier.peer.link import MAX_FRAME_BYTES, Outbox, Outgoing
from papayapier.peer.signing import TAG_BYTES

TEMPORARY_IDLE_MS: Final = 30_000


class Address(NamedTuple):
    """Locate an instance."""

    host: str
    port: int


class _Link:
    __slots__ = ("outbox", "permanent", "used_at")

    def __init__(self, outbox: Outbox, permanent: bool, now: Millis) -> None:
        self.outbox = outbox
        self.permanent = permanent
        self.used_at = now


class Links:
    """Own the outgoing connections of an instance."""

    def __init__(self, dial: Callable[[Address], Outbox]) -> None:
        self._dial = dial
        self._links: dict[str, _Link] = {}

    def neighbours(self) -> list[str]:
        """Return the peers with a permanent connection."""
        return [peer_id for peer_id, link in self._links.items() if link.permanent]

    def connect(self, peer_id: str, address: Address, permanent: bool, now: Millis) -> None:
        """Open a connection, replacing an existing one."""
        self.disconnect(peer_id)
        self._links[peer_id] = _Link(self._dial(address), permanent, now)

    def has(self, peer_id: str) -> bool:
        """Return whether there is a connection to a peer."""
        return peer_id in self._links

    def send(self, peer_id: str, frame: Outgoing, now: Millis) -> bool:
        """Send a frame; return False only if it certainly was not sent."""
        link = self._links.get(peer_id)
        if link is None or len(frame.data) > MAX_FRAME_BYTES - TAG_BYTES:
            return False
        link.used_at = now
        return link.outbox.send(frame)

    def close_idle(self, now: Millis) -> None:
        """Close the temporary connections that have been idle too long."""
        for peer_id, link in list(self._links.items()):
            if not link.permanent and now - link.used_at >= TEMPORARY_IDLE_MS:
                self.disconnect(peer_id)

    def disconnect(self, peer_id: str) -> None:
        """Close the connection to a peer."""
        link = self._links.pop(peer_id, None)
        if link is not None:
            link.outbox.close()

    def close(self) -> None:
        """Close all connections."""
        for peer_id in list(self._links):
            self.disconnect(peer_id)
