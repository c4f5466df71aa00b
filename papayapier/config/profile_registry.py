"""Hold the configuration that is in force on this instance.

An object is replaced only by a higher version of it, whatever the source. The highest version
does not prove that nothing is missing: one push can be lost and a later one can arrive. So the
registry maintains a digest of all its (key, version) pairs: the sum, modulo 2**64, of one hash
for each pair. The digest is updated by one subtraction and one addition per change, does not
depend on the order of arrival and takes nine bytes in a heartbeat. Two registries with equal
digests hold the same versions, except with a probability of 2**-64. The sum is split into
buckets by key, so that two registries that differ exchange only the buckets that differ.
"""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

import xxhash
from result import Err, Ok

from papayapier import events, invariants
from papayapier.config import records
from papayapier.config.profiles import Profile
from papayapier.config.records import PROFILES, UPSTREAMS, Subject, Wanted
from papayapier.config.upstreams import UpstreamWanted
from papayapier.invariants import Invariant
from papayapier.peer.messages import ConfigPush

BUCKETS: Final = 64
DIGEST_MASK: Final = 2**64 - 1

ChangeListener = Callable[[str, int], None]


class InForce(NamedTuple):
    """Hold one applied object; wanted is None if the object was deleted."""

    version: int
    value: bytes
    wanted: Wanted | None


class ProfileRegistry:
    """Hold all configuration objects in force, by key."""

    __slots__ = ("_buckets", "_listeners", "_objects", "_unreadable", "_version")

    def __init__(self) -> None:
        self._objects: dict[str, InForce] = {}
        self._buckets = [0] * BUCKETS
        self._unreadable: dict[str, int] = {}
        self._version = 0
        self._listeners: list[ChangeListener] = []

    def profile(self, name: str) -> Profile | None:
        """Return a profile in force, or None."""
        wanted = self._wanted(PROFILES, name)
        return wanted if isinstance(wanted, Profile) else None

    def upstream(self, name: str) -> UpstreamWanted | None:
        """Return the wanted state of an upstream, or None."""
        wanted = self._wanted(UPSTREAMS, name)
        return wanted if isinstance(wanted, UpstreamWanted) else None

    def profiles(self) -> dict[str, Profile]:
        """Return every profile in force, by name."""
        found = {e.wanted.name: e.wanted for e in self._existing() if isinstance(e.wanted, Profile)}
        return dict(sorted(found.items()))

    def upstreams(self) -> dict[str, UpstreamWanted]:
        """Return the wanted state of every upstream, by name."""
        found = {
            e.wanted.name: e.wanted
            for e in self._existing()
            if isinstance(e.wanted, UpstreamWanted)
        }
        return dict(sorted(found.items()))

    def version(self) -> int:
        """Return the highest version applied."""
        return self._version

    def version_of(self, key: str) -> int:
        """Return the version of one object in force, or 0."""
        current = self._objects.get(key)
        return current.version if current else 0

    def needs(self, key: str, version: int) -> bool:
        """Return whether a version should be fetched; one that could not be decoded should not."""
        return version > max(self.version_of(key), self._unreadable.get(key, 0))

    def digest(self) -> int:
        """Return the digest of all versions in force."""
        return sum(self._buckets) & DIGEST_MASK

    def buckets(self) -> list[int]:
        """Return the digest of each bucket of keys."""
        return list(self._buckets)

    def objects(self, newer_than: int = 0) -> list[ConfigPush]:
        """Return the objects in force with a higher version than the given one."""
        return [
            ConfigPush(key, current.version, current.value)
            for key, current in self._objects.items()
            if current.version > newer_than
        ]

    def objects_differing(self, buckets: Iterable[int]) -> list[ConfigPush]:
        """Return the objects in the buckets whose digests differ from the given digests."""
        same = {i for i, (a, b) in enumerate(zip(self._buckets, buckets, strict=False)) if a == b}
        return [push for push in self.objects() if _bucket_of(push.key) not in same]

    def watch(self, listener: ChangeListener) -> None:
        """Register a callback that gets the key and version of each applied change."""
        self._listeners.append(listener)

    def apply(self, key: str, version: int, value: bytes) -> bool:
        """Apply an object if it is newer than the one in force; return whether it was applied."""
        subject = records.parse_key(key)
        if subject is None:
            return False
        current = self._objects.get(key)
        value = records.without_history(value)
        if current is not None and version <= current.version:
            # Different contents with the same version mean that a peer or a data folder holds the
            # configuration of another store. It is unknown which of them was accepted, and a
            # higher version from there could replace ours. The counter and event 901 report it.
            same = version < current.version or records.same_document(value, current.value)
            invariants.check_invariant(same, Invariant.CONFIG_FORWARD, key=key, version=version)
            return False
        return self._apply_object(subject, InForce(version, value, None))

    def _apply_object(self, subject: Subject, item: InForce) -> bool:
        match _decode_wanted(subject, item.value):
            case Ok(wanted):
                item = item._replace(wanted=wanted)
            case Err(reason):
                self._unreadable[subject.key] = item.version
                events.emit(
                    events.CONFIG_UNREADABLE, key=subject.key, version=item.version, reason=reason
                )
                return False
        self._update_digest(subject.key, item.version)
        self._objects[subject.key] = item
        self._version = max(self._version, item.version)
        events.emit(events.CONFIG_APPLIED, key=subject.key, version=item.version)
        for listener in self._listeners:
            listener(subject.key, item.version)
        return True

    def _update_digest(self, key: str, version: int) -> None:
        change = _pair_hash(key, version) - _pair_hash(key, self.version_of(key))
        bucket = _bucket_of(key)
        self._buckets[bucket] = (self._buckets[bucket] + change) & DIGEST_MASK

    def _wanted(self, kind: str, name: str) -> Wanted | None:
        current = self._objects.get(Subject(kind, name).key)
        return current.wanted if current else None

    def _existing(self) -> list[InForce]:
        return [current for current in self._objects.values() if current.wanted is not None]


def _decode_wanted(subject: Subject, value: bytes) -> Ok[Wanted | None] | Err[str]:
    match records.decode(value):
        case Err(reason):
            return Err(reason)
        case Ok(record) if record["document"] is None:
            return Ok(None)
        case Ok(record):
            return records.parse_document(subject, record["document"])


def _pair_hash(key: str, version: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}@{version}".encode()) if version else 0


def _bucket_of(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKETS
