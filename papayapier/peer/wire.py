"""Encode and decode the frames between instances.

A frame is the msgpack array [kind, sender, fields]. msgspec refuses an array with more
elements than a NamedTuple has fields. During an upgrade a newer release sends such arrays;
refusing them would make every instance of the other release look dead. So a frame that fails
to decode is truncated to the fields known here and checked again.
"""

from typing import Any, Final, NamedTuple, get_args, get_origin, get_type_hints

import msgspec
from result import Err, Ok, Result

from papayapier import codec
from papayapier.decoding import DECODE_ERRORS
from papayapier.peer.kinds import KINDS
from papayapier.peer.messages import Message

KIND_NUMBERS: Final[dict[type[Message], int]] = {kind: number for number, kind in KINDS.items()}


class Frame(NamedTuple):
    """Hold a message and the instance that sent it."""

    sender: str
    message: Message


class _Envelope(msgspec.Struct, array_like=True):
    """Defer decoding of the fields; unlike a NamedTuple it permits additional elements."""

    kind: int
    sender: str
    body: msgspec.Raw


def encode(sender: str, message: Message) -> bytes:
    """Encode a message as one frame."""
    return codec.pack((KIND_NUMBERS[type(message)], sender, message))


def decode(data: bytes) -> Result[Frame, str]:
    """Decode a frame, or return why it cannot be decoded."""
    try:
        envelope = msgspec.msgpack.decode(data, type=_Envelope)
    except DECODE_ERRORS as exc:
        return Err(f"not a frame: {exc}")
    kind = KINDS.get(envelope.kind)
    if kind is None:
        return Err(f"unknown kind {envelope.kind} from {envelope.sender}")
    return _decode_fields(envelope.body, kind).map(lambda msg: Frame(envelope.sender, msg))


def _decode_fields(body: msgspec.Raw, kind: type[Message]) -> Result[Message, str]:
    try:
        return Ok(msgspec.msgpack.decode(body, type=kind))
    except DECODE_ERRORS:
        return _decode_truncated(body, kind)


def _decode_truncated(body: msgspec.Raw, kind: type[Message]) -> Result[Message, str]:
    try:
        known = _truncate(msgspec.msgpack.decode(body), kind)
        return Ok(msgspec.convert(known, type=kind))
    except DECODE_ERRORS as exc:
        return Err(f"{kind.__name__}: {exc}")


def _truncate(value: Any, kind: Any) -> Any:
    """Return the value without the elements that this release does not know."""
    if not isinstance(value, list):
        return value
    if hasattr(kind, "_fields"):
        hints = get_type_hints(kind)
        known = zip(value, kind._fields, strict=False)
        return [_truncate(element, hints[name]) for element, name in known]
    args = get_args(kind)
    if get_origin(kind) is list or Ellipsis in args:
        return [_truncate(element, args[0]) for element in value]
    return value
