"""Turn NamedTuple records into JSON objects or msgpack arrays, and check them on the way in.

msgspec decodes a NamedTuple from an array, which is compact and is what stored chunks and
peer messages use. People write objects, and an unknown key in them must be an error. So
for JSON each NamedTuple gets a mirror struct, made once, that forbids unknown fields;
msgspec then does all the checking and names the path of the field at fault.
"""

import re
from functools import cache, partial, reduce
from operator import or_
from types import UnionType
from typing import Any, Final, TypeVar, Union, cast, get_args, get_origin, get_type_hints

import msgspec
import pyjson5
from result import Err, Ok, Result

T = TypeVar("T")

BYTES_QUOTE: Final = re.compile(r"b'(\w+)'")


def from_json(text: bytes, cls: type[T]) -> Result[T, str]:
    """Decode strict JSON into a record, or say which field is at fault."""
    try:
        return Ok(_to_record(msgspec.json.decode(text, type=_mirror(cast(Any, cls))), cls))
    except msgspec.MsgspecError as exc:
        return Err(_plain(exc))


def from_commented_json(text: str, cls: type[T]) -> Result[T, str]:
    """Decode JSON with comments into a record, or say which field is at fault."""
    try:
        return from_document(pyjson5.loads(text), cls)
    except pyjson5.Json5Exception as exc:
        # The library's messages quote some words as Python bytes.
        why = BYTES_QUOTE.sub(r"\1", str(exc.args[0]))
        return Err(f"not valid json: {why[:1].lower()}{why[1:]}")


def from_document(document: object, cls: type[T]) -> Result[T, str]:
    """Convert plain decoded JSON into a record, or say which field is at fault."""
    try:
        return Ok(_to_record(msgspec.convert(document, type=_mirror(cast(Any, cls))), cls))
    except msgspec.MsgspecError as exc:
        return Err(_plain(exc))


def to_json(value: object) -> bytes:
    """Encode a record as a JSON object, with its fields in order."""
    return msgspec.json.encode(to_document(value))


def to_document(value: object) -> Any:
    """Convert a record into plain JSON types, field by field."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_document(part) for name, part in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_document(part) for part in value]
    if isinstance(value, dict):
        return {key: to_document(part) for key, part in value.items()}
    return value


def pack(value: object) -> bytes:
    """Encode a record as a msgpack array."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, cls: type[T]) -> Result[T, str]:
    """Decode a msgpack array into a record, or say what is wrong."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=cls))
    except msgspec.MsgspecError as exc:
        return Err(_plain(exc))


@cache
def _mirror(kind: Any) -> Any:
    """Return the type to decode for a type of ours: a struct for each NamedTuple in it."""
    if isinstance(kind, type) and hasattr(kind, "_fields"):
        return _mirror_struct(kind)
    origin = get_origin(kind)
    if origin is None:
        return kind
    parts = tuple(_mirror(part) if part is not Ellipsis else part for part in get_args(kind))
    if origin in (Union, UnionType):
        return reduce(or_, parts)
    if origin in (list, tuple, dict):
        return origin[parts]
    return kind


def _mirror_struct(kind: Any) -> Any:
    hints = get_type_hints(kind, include_extras=True)
    fields: list[Any] = []
    for name in kind._fields:
        mirrored = _mirror(hints[name])
        if name in kind._field_defaults:
            default = kind._field_defaults[name]
            fields.append((name, mirrored, msgspec.field(default_factory=partial(_same, default))))
        else:
            fields.append((name, mirrored))
    return msgspec.defstruct(kind.__name__, fields, forbid_unknown_fields=True, kw_only=True)


def _same(value: Any) -> Any:
    return value


def _to_record(value: Any, kind: Any) -> Any:
    """Convert a decoded mirror back into the NamedTuple it stands for."""
    if isinstance(value, msgspec.Struct):
        return _struct_to_record(value, kind)
    if isinstance(value, list | tuple) and not hasattr(value, "_fields"):
        return _sequence_to_record(value, kind)
    if isinstance(value, dict):
        part = (get_args(kind) or (Any, Any))[1]
        return {key: _to_record(item, part) for key, item in value.items()}
    return value


def _struct_to_record(value: msgspec.Struct, kind: Any) -> Any:
    record = next(k for k in (kind, *get_args(kind)) if hasattr(k, "_fields"))
    hints = get_type_hints(record)
    return record(**{n: _to_record(getattr(value, n), hints[n]) for n in record._fields})


def _sequence_to_record(value: list[Any] | tuple[Any, ...], kind: Any) -> Any:
    args = get_args(kind) or (Any,)
    parts = [_to_record(item, args[min(i, len(args) - 1)]) for i, item in _indexed(value, args)]
    return type(value)(parts)


def _indexed(value: Any, args: tuple[Any, ...]) -> list[tuple[int, Any]]:
    variadic = len(args) == 1 or args[-1] is Ellipsis
    return [(0 if variadic else i, item) for i, item in enumerate(value)]


def _plain(exc: Exception) -> str:
    """Reword a msgspec message as short lower-case English that starts with the path."""
    text = str(exc)
    message, _, path = text.partition(" - at ")
    message = message[:1].lower() + message[1:].replace("Object", "the object")
    where = path.strip("`").removeprefix("$.").removeprefix("$")
    return f"{where}: {message}" if where else message
