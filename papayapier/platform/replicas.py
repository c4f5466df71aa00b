"""Decode the platform's entries of replicas."""

from typing import Final, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from papayapier.node.replica_list import ListedReplica
from papayapier.upstream.api import Replica

REPLICAS_PREFIX: Final = "servers/"


class _Server(TypedDict):
    # The upstream's name.
    service: str
    # IP:PORT; given to another replica some time after this one has gone.
    address: str
    zone: str
    slots: NotRequired[int]
    state: NotRequired[str]


_SERVER: Final = msgspec.json.Decoder(_Server)


def read_replica(replica_id: str, value: bytes) -> Result[ListedReplica, str]:
    """Decode one entry, or say what is wrong."""
    try:
        wire = _SERVER.decode(value)
        host, _, port = wire["address"].rpartition(":")
        replica = Replica(replica_id, wire["service"], host, int(port), wire["zone"])
    except (msgspec.MsgspecError, ValueError) as exc:
        return Err(str(exc))
    return Ok(ListedReplica(replica, wire.get("slots", 0), wire.get("state") == "draining"))
