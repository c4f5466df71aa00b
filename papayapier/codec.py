"""Encode NamedTuple records as JSON objects or msgpack arrays, and validate decoded ones.

msgspec decodes a NamedTuple from an array; stored chunks and peer messages use this compact
form. People write JSON objects, in which an unknown key must be an error. So for JSON, each
NamedTuple has an equivalent struct, created once, that forbids unknown fields; msgspec then
does all validation and reports the path of the invalid field.
"""

import re
from functools import cache, partial, reduce
from operator import or_
from types import UnionType
from typing import Any, Final, TypeVar, Union, cast, get_args, get_origin, get_type_hints

import msgspec
import pyjson5
from result import Err, Ok, Result

from papayapier.decoding import DECODE_ERRORS

T = TypeVar("T")

BYTES_LITERAL: Final = re.compile(r"b'(\w+)'")


def from_json(text: bytes, cls: type[T]) -> Result[T, str]:
    """Decode strict JSON into a record; the error names the invalid field."""
    try:
        return Ok(_to_record(msgspec.json.decode(text, type=_struct_type(cast(Any, cls))), cls))
    except DECODE_ERRORS as exc:
        return Err(_format_error(exc))


def from_commented_json(text: str, cls: type[T]) -> Result[T, str]:
    """Decode JSON with comments into a record; the error names the invalid field."""
    try:
        return from_document(pyjson5.loads(text), cls)
    except pyjson5.Json5Exception as exc:
        # The library's messages contain some words as Python bytes literals.
        reason = BYTES_LITERAL.sub(r"\1", str(exc.args[0]))
        return Err(f"not valid json: {reason[:1].lower()}{reason[1:]}")


def from_document(document: object, cls: type[T]) -> Result[T, str]:
    """Convert decoded JSON into a record; the error names the invalid field."""
    try:
        return Ok(_to_record(msgspec.convert(document, type=_struct_type(cast(Any, cls))), cls))
    except DECODE_ERRORS as exc:
        return Err(_format_error(exc))


def to_json(value: object) -> bytes:
    """Encode a record as a JSON object with its fields in order."""
    return msgspec.json.encode(to_document(value))


def to_document(value: object) -> Any:
    """Convert a record into plain JSON types recursively."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {name: to_document(field) for name, field in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_document(item) for item in value]
    if isinstance(value, dict):
        return {key: to_document(item) for key, item in value.items()}
    return value


def pack(value: object) -> bytes:
    """Encode a record as a msgpack array."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, cls: type[T]) -> Result[T, str]:
    """Decode a msgpack array into a record; the error names the invalid field."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=cls))
    except DECODE_ERRORS as exc:
        return Err(_format_error(exc))


@cache
def _struct_type(kind: Any) -> Any:
    """Return a type to decode, in which a struct replaces each NamedTuple."""
    if isinstance(kind, type) and hasattr(kind, "_fields"):
        return _define_struct(kind)
    origin = get_origin(kind)
    if origin is None:
        return kind
    args = tuple(_struct_type(arg) if arg is not Ellipsis else arg for arg in get_args(kind))
    if origin in (Union, UnionType):
        return reduce(or_, args)
    if origin in (list, tuple, dict):
        return origin[args]
    return kind


def _define_struct(kind: Any) -> Any:
    hints = get_type_hints(kind, include_extras=True)
    fields: list[Any] = []
    for name in kind._fields:
        field_type = _struct_type(hints[name])
        if name in kind._field_defaults:
            default = kind._field_defaults[name]
            fields.append(
                (name, field_type, msgspec.field(default_factory=partial(_identity, default)))
            )
        else:
            fields.append((name, field_type))
    return msgspec.defstruct(kind.__name__, fields, forbid_unknown_fields=True, kw_only=True)


def _identity(value: Any) -> Any:
    return value


def _to_record(value: Any, kind: Any) -> Any:
    """Convert decoded structs back into the NamedTuples that they replace."""
    if isinstance(value, msgspec.Struct):
        return _struct_to_record(value, kind)
    if isinstance(value, list | tuple) and not hasattr(value, "_fields"):
        return _sequence_to_record(value, kind)
    if isinstance(value, dict):
        item_type = (get_args(kind) or (Any, Any))[1]
        return {key: _to_record(item, item_type) for key, item in value.items()}
    return value


def _struct_to_record(value: msgspec.Struct, kind: Any) -> Any:
    record = next(k for k in (kind, *get_args(kind)) if hasattr(k, "_fields"))
    hints = get_type_hints(record)
    return record(**{n: _to_record(getattr(value, n), hints[n]) for n in record._fields})


def _sequence_to_record(value: list[Any] | tuple[Any, ...], kind: Any) -> Any:
    args = get_args(kind) or (Any,)
    items = [_to_record(item, args[min(i, len(args) - 1)]) for i, item in _with_arg(value, args)]
    return type(value)(items)


def _with_arg(value: Any, args: tuple[Any, ...]) -> list[tuple[int, Any]]:
    """Return each item with the index of its type argument."""
    variadic = len(args) == 1 or args[-1] is Ellipsis
    return [(0 if variadic else i, item) for i, item in enumerate(value)]


def _format_error(exc: Exception) -> str:
    """Return a msgspec message in lower case that starts with the path of the field."""
    text = str(exc)
    message, _, path = text.partition(" - at ")
    message = message[:1].lower() + message[1:].replace("Object", "the object")
    field = path.strip("`").removeprefix("$.").removeprefix("$")
    return f"{field}: {message}" if field else message
