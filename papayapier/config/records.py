"""Define the stored form of a configuration object.

An object contains the document in force and the audit entries that led to it, so that one
conditional update changes both and the audit trail cannot contradict the configuration. The
trail inside an object is bounded: older entries are copied to a separate object under audit/
before they are removed here (see accept). Peers receive the record without its trail, because
only accept needs the trail, and it reads the store.

The format is JSON, and unknown fields are ignored when decoding. During an upgrade a newer
release may store a field that an older one does not know; if the older one rejected the object,
the accepted change would not be in force there.
"""

from typing import Any, Final, NamedTuple, TypedDict, get_args, get_type_hints

import msgspec
import xxhash
from result import Err, Ok, Result

from papayapier import codec
from papayapier.config.profiles import Profile
from papayapier.config.upstreams import UpstreamWanted
from papayapier.decoding import DECODE_ERRORS

CONFIG_PREFIX: Final = "config/"
AUDIT_PREFIX: Final = "audit/"
PROFILES: Final = "profiles"
UPSTREAMS: Final = "upstreams"
MAX_HISTORY_ENTRIES: Final = 16
SPILLED_AT_ONCE: Final = 8
SEQ_DIGITS: Final = 10

Document = dict[str, Any]
Wanted = Profile | UpstreamWanted

KINDS: Final[dict[str, type[Wanted]]] = {PROFILES: Profile, UPSTREAMS: UpstreamWanted}


class FieldChange(TypedDict):
    """Hold one field's value before and after a change; None if the field was absent."""

    path: str
    before: Any
    after: Any


class AuditEntry(TypedDict):
    """Record who changed an object, when, why and how.

    seq numbers the object's changes from 1. based_on is the version that was replaced, so the
    version of an entry is the based_on of its successor, or the object's version for the last.
    """

    seq: int
    change_id: str
    at_ms: int
    who: str
    action: str
    reason: str
    based_on: int
    content: str
    changes: list[FieldChange]


class Record(TypedDict):
    """Hold one stored object; a document of None marks a deleted object."""

    document: Document | None
    history: list[AuditEntry]


class Spilled(TypedDict):
    """Hold audit entries that were moved out of their object."""

    entries: list[AuditEntry]


class Subject(NamedTuple):
    """Identify one configuration object; kind is a key of KINDS."""

    kind: str
    name: str

    @property
    def key(self) -> str:
        """Return the object's key in the store."""
        return f"{CONFIG_PREFIX}{self.kind}/{self.name}"

    @property
    def audit_prefix(self) -> str:
        """Return the key prefix of the object's spilled audit entries."""
        return f"{AUDIT_PREFIX}{self.kind}/{self.name}/"

    def audit_key(self, seq: int) -> str:
        """Return the key of the spilled entries that start at a sequence number."""
        return f"{self.audit_prefix}{seq:0{SEQ_DIGITS}d}"


def parse_key(key: str) -> Subject | None:
    """Return the configuration object that a store key identifies, or None for other keys."""
    parts = key.removeprefix(CONFIG_PREFIX).split("/")
    if not key.startswith(CONFIG_PREFIX) or len(parts) != 2 or parts[0] not in KINDS:
        return None
    return Subject(*parts)


def decode(value: bytes) -> Result[Record, str]:
    """Decode a stored object."""
    return _decode(value, Record)


def decode_spilled(value: bytes) -> Result[Spilled, str]:
    """Decode an object of spilled audit entries."""
    return _decode(value, Spilled)


def encode(record: Record | Spilled) -> bytes:
    """Encode an object for the store or for peers."""
    return msgspec.json.encode(record)


def without_history(value: bytes) -> bytes:
    """Return a stored object without its audit trail, as it is sent to peers."""
    match decode(value):
        case Ok(record):
            return encode(Record(document=record["document"], history=[]))
        case _:
            return value


def same_document(first: bytes, second: bytes) -> bool:
    """Return whether two encoded objects hold the same document, whichever release wrote them."""
    if first == second:
        return True
    match (decode(first), decode(second)):
        case (Ok(left), Ok(right)):
            return left["document"] == right["document"]
        case _:
            return False


def parse_document(subject: Subject, document: Document) -> Result[Wanted, str]:
    """Convert a stored document to its record type, ignoring fields of newer releases."""
    kind = KINDS[subject.kind]
    return codec.from_document(_known_fields(document, kind), kind)


def content_hash(document: Document | None) -> str:
    """Return a hash that identifies the content of a document."""
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(document, order="sorted"))


def field_changes(before: Document | None, after: Document | None) -> list[FieldChange]:
    """List the fields, by path, in which two documents differ."""
    old = _flatten(before or {})
    new = _flatten(after or {})
    paths = list(dict.fromkeys([*old, *new]))
    return [
        FieldChange(path=path, before=old.get(path), after=new.get(path))
        for path in paths
        if path not in old or path not in new or old[path] != new[path]
    ]


def _decode(value: bytes, kind: type[Any]) -> Result[Any, str]:
    try:
        return Ok(msgspec.json.decode(value, type=kind))
    except DECODE_ERRORS as exc:
        return Err(str(exc))


def _known_fields(document: Document, kind: Any) -> Document:
    hints = get_type_hints(kind)
    known = {}
    for name, value in document.items():
        if name not in hints:
            continue
        known[name] = _known_value(value, hints[name])
    return known


def _known_value(value: Any, hint: Any) -> Any:
    if isinstance(value, dict) and hasattr(hint, "_fields"):
        return _known_fields(value, hint)
    if isinstance(value, list) and get_args(hint):
        return [_known_value(part, get_args(hint)[0]) for part in value]
    return value


def _flatten(document: Document, path: str = "") -> Document:
    flat: Document = {}
    for name, value in document.items():
        if isinstance(value, dict):
            flat.update(_flatten(value, f"{path}{name}."))
        else:
            flat[path + name] = value
    return flat
