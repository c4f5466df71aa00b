"""Decode the platform's store entries of replicas."""

from ipaddress import IPv4Address
from typing import Final, Literal, NotRequired, TypedDict

import msgspec
from result import Err, Ok, Result

from papayapier.decoding import DECODE_ERRORS, parse_number
from papayapier.node.replica_list import ListedReplica
from papayapier.upstream.api import Replica

REPLICAS_PREFIX: Final = "servers/"


MAX_PORT: Final = 65_535


class _Server(TypedDict):
    # The upstream's name.
    service: str
    # IP:PORT; reused for another replica some time after this one has been removed.
    address: str
    zone: str
    slots: int
    state: Literal["ready", "draining"]
    # The version of its software, not of the weights.
    version: NotRequired[str]
    # Distinguishes the boots of a replica that restarts under the same name.
    born: NotRequired[int]


_SERVER: Final = msgspec.json.Decoder(_Server)


def read_replica(replica_id: str, value: bytes) -> Result[ListedReplica, str]:
    """Decode one entry, or return what is invalid.

    Anybody may write entries. An incomplete entry taken for a replica would get callers'
    requests.
    """
    try:
        wire = _SERVER.decode(value)
        host, port = _address(wire["address"])
    except DECODE_ERRORS as exc:
        return Err(str(exc))
    if not wire["service"]:
        return Err("service: empty")
    if wire["slots"] <= 0:
        return Err(f"slots: {wire['slots']} is not a positive number")
    replica = Replica(
        replica_id, wire["service"], host, port, wire["zone"], version=wire.get("version", "")
    )
    if "born" in wire:
        replica = replica._replace(id=f"{replica_id}/{wire['born']}", announced_name=replica_id)
    return Ok(ListedReplica(replica, wire["slots"], wire["state"] == "draining"))


def decodes_differently(before: bytes, after: bytes) -> bool:
    """Return whether two values of one entry decode to different replicas.

    A replica that has just started writes the remaining time of its slow start with each
    heartbeat; such a change makes no difference here.
    """
    return before != after and read_replica("", before) != read_replica("", after)


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    number = parse_number(port)
    if number is None or not 0 < number <= MAX_PORT:
        raise ValueError(f"address: {text!r} has no port")
    try:
        return str(IPv4Address(host)), number
    except ValueError:
        raise ValueError(f"address: {text!r} is not an IP address") from None
