"""Report the status of the fleet as observed by this instance."""

from typing import TYPE_CHECKING, Final

from papayapier.entry.operator_bodies import InstanceStatus, Status
from papayapier.peer.messages import Heartbeat, Message

if TYPE_CHECKING:
    from papayapier.config.profile_registry import ProfileRegistry
    from papayapier.instance import Readiness
    from papayapier.peer.hub import PeerHub
    from papayapier.peer.peer_state import PeerView
    from papayapier.settings import InstanceSettings

SERVING: Final = "serving"


class FleetStatus:
    """Keep the last heartbeat of each peer for the operators' status request."""

    def __init__(
        self,
        own_settings: "InstanceSettings",
        profiles: "ProfileRegistry",
        hub: "PeerHub",
        readiness: "Readiness",
    ) -> None:
        self._own_settings = own_settings
        self._profiles = profiles
        self._hub = hub
        self._readiness = readiness
        self._heartbeats: dict[str, Heartbeat] = {}
        hub.subscribe(Heartbeat, self._on_heartbeat)

    def _on_heartbeat(self, peer_id: str, message: Message) -> None:
        assert isinstance(message, Heartbeat)
        self._heartbeats[peer_id] = message

    def current(self) -> Status:
        """Return the status of every known instance, this one first."""
        peers = [self._peer_status(view) for view in self._hub.views()]
        return Status(self._own_settings.id, [self._own_status(), *peers])

    def _own_status(self) -> InstanceStatus:
        reason = self._readiness.not_ready_reason()
        return InstanceStatus(
            id=self._own_settings.id,
            state=self._readiness.state(),
            ready=not reason,
            reason=reason,
            config_version=self._profiles.version(),
            agrees=True,
            heard_ms_ago=0,
            data_centre=self._own_settings.data_centre,
            region=self._own_settings.region,
        )

    def _peer_status(self, view: "PeerView") -> InstanceStatus:
        heartbeat = self._heartbeats.get(view.id)
        state = heartbeat.state if heartbeat is not None else "not heard from"
        reason = "" if view.up else "silent"
        return InstanceStatus(
            id=view.id,
            state=state,
            ready=view.up and state == SERVING,
            reason=reason,
            config_version=view.config_version,
            agrees=heartbeat is not None and heartbeat.config_digest == self._profiles.digest(),
            heard_ms_ago=view.heard_ms_ago,
            data_centre=view.data_centre,
            region=view.region,
        )
