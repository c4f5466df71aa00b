"""Make the status of the fleet as this instance sees it."""

from typing import TYPE_CHECKING, Final

from papayapier.entry.operator_bodies import InstanceStatus, Status
from papayapier.peer.messages import Heartbeat, Message

if TYPE_CHECKING:
    from papayapier.config.book import ProfileBook
    from papayapier.instance import Readiness
    from papayapier.peer.hub import PeerHub
    from papayapier.peer.peer_state import PeerView
    from papayapier.settings import InstanceSettings

SERVING: Final = "serving"


class FleetStatus:
    """Keep the last heartbeat of each peer, for the operators."""

    def __init__(
        self,
        me: "InstanceSettings",
        book: "ProfileBook",
        hub: "PeerHub",
        readiness: "Readiness",
    ) -> None:
        self._me = me
        self._book = book
        self._hub = hub
        self._readiness = readiness
        self._beats: dict[str, Heartbeat] = {}
        hub.subscribe(Heartbeat, self._on_heartbeat)

    def _on_heartbeat(self, peer_id: str, message: Message) -> None:
        assert isinstance(message, Heartbeat)
        self._beats[peer_id] = message

    def show(self) -> Status:
        """Return every known instance, this one first."""
        peers = [self._peer(view) for view in self._hub.views()]
        return Status(self._me.id, [self._own(), *peers])

    def _own(self) -> InstanceStatus:
        reason = self._readiness.why_not()
        return InstanceStatus(
            id=self._me.id,
            state=self._readiness.state(),
            ready=not reason,
            reason=reason,
            config_version=self._book.version(),
            agrees=True,
            heard_ms_ago=0,
            data_centre=self._me.data_centre,
            region=self._me.region,
        )

    def _peer(self, view: "PeerView") -> InstanceStatus:
        beat = self._beats.get(view.id)
        state = beat.state if beat is not None else "not heard from"
        reason = "" if view.up else "silent"
        return InstanceStatus(
            id=view.id,
            state=state,
            ready=view.up and state == SERVING,
            reason=reason,
            config_version=view.config_version,
            agrees=beat is not None and beat.config_digest == self._book.digest(),
            heard_ms_ago=view.heard_ms_ago,
            data_centre=view.data_centre,
            region=view.region,
        )
