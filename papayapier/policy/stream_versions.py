"""Decide at which software version of an upstream a broken stream may be resumed.

What replicas of two software versions write does not fit together, and replicas do not check this.
A stream may go on only at the version that began it; an instance that does not know this version
refuses to resume the stream. There are two ways to know it:

- The upstream has had only one version for as long as a stream may last. Then nothing needs to be
  recorded or reported for its streams.
- The version was recorded when the stream began, under the request id of the attempt that brought
  its first event, or another instance has reported it.
"""

from collections.abc import Callable, Collection, Iterator, Sequence
from typing import Final, NamedTuple

from papayapier.errors import ErrorKind, Refusal, not_run_refusal
from papayapier.policy.rendezvous import score
from papayapier.upstream.api import Replica

# Longer than callers usually wait for a whole answer over all their attempts.
MIN_STREAM_LIFE_MS: Final = 10_000
# A caller may resume a stream until its own time limit, which can exceed that of the route.
LIFE_PER_TIMEOUT: Final = 2
# About 200 bytes each.
MAX_RECORDS: Final = 50_000
# An instance that is killed together with one other leaves a third that knows its streams.
HOLDERS: Final = 2
# The live instances may be known differently where a stream began and where it is resumed.
ASKED_HOLDERS: Final = 3
# Bounds the connections that each instance opens to report its streams.
MAX_HOLDER_CANDIDATES: Final = 16
CANDIDATES_KEY: Final = "stream holders"


class StreamOrigin(NamedTuple):
    """Say at which version a stream began, None if that is unknown, and how it is known."""

    version: str | None
    source: str


RECORDED: Final = "recorded"
SOLE_VERSION: Final = "sole_version"
PEER: Final = "peer"
UNKNOWN: Final = StreamOrigin(None, "unknown")


def stream_life_ms(longest_timeout_ms: int) -> int:
    """Return how long a stream may last over all attempts of its caller."""
    return max(MIN_STREAM_LIFE_MS, LIFE_PER_TIMEOUT * longest_timeout_ms)


class VersionHistory:
    """Hold the versions of each upstream that were listed within the life of a stream."""

    def __init__(self, life_ms: Callable[[], int]) -> None:
        self._life_ms = life_ms
        self._listed: dict[str, set[str]] = {}
        # When each version that is no longer listed was last listed.
        self._removed_ms: dict[tuple[str, str], int] = {}

    def on_listed(self, replicas: Sequence[Replica], now: int) -> list[str]:
        """Replace the list; return the upstreams that had one recent version and now have more."""
        known = set(self._listed).union(upstream for upstream, _ in self._removed_ms)
        before = {upstream: self.recent(upstream, now) for upstream in known}
        for upstream, versions in self._listed.items():
            for version in versions:
                self._removed_ms[upstream, version] = now
        self._listed = {}
        for replica in replicas:
            self._listed.setdefault(replica.upstream, set()).add(replica.version)
        oldest_ms = now - self._life_ms()
        self._removed_ms = {key: at for key, at in self._removed_ms.items() if at > oldest_ms}
        return [
            upstream
            for upstream, versions in before.items()
            if len(versions) == 1 and len(self.recent(upstream, now)) > 1
        ]

    def on_seen(self, upstream: str, version: str, now: int) -> None:
        """Record a version that was listed, but may no longer be."""
        if version not in self._listed.get(upstream, ()):
            self._removed_ms[upstream, version] = now

    def recent(self, upstream: str, now: int) -> frozenset[str]:
        """Return the versions that were listed within the life of a stream."""
        oldest_ms = now - self._life_ms()
        removed = {
            version
            for (name, version), at in self._removed_ms.items()
            if name == upstream and at > oldest_ms
        }
        return frozenset(removed | self._listed.get(upstream, set()))

    def has_several(self, upstream: str, now: int) -> bool:
        """Return whether streams of an upstream may have begun at several versions."""
        return len(self._listed.get(upstream, ())) > 1 or len(self.recent(upstream, now)) > 1

    def sole(self, upstream: str, complete_since_ms: int | None, now: int) -> str | None:
        """Return the only version at which a stream can have begun, or None.

        complete_since_ms is the time since which all changes of the list are known.
        """
        if complete_since_ms is None or complete_since_ms > now - self._life_ms():
            return None
        return self.sole_known(upstream, now)

    def sole_known(self, upstream: str, now: int) -> str | None:
        """Return the only recent version that is known here, or None."""
        versions = self.recent(upstream, now)
        return next(iter(versions)) if len(versions) == 1 else None


class StreamRecord(NamedTuple):
    """Hold the version of a stream; None if reports contradict each other."""

    upstream: str
    version: str | None
    recorded_ms: int

    def version_at(self, upstream: str) -> str | None:
        """Return the version at which the stream may go on at an upstream, or None."""
        return self.version if upstream == self.upstream else None


class StreamRecords:
    """Hold the versions at which streams began, by the request id of their first attempt."""

    def __init__(self, life_ms: Callable[[], int], limit: int = MAX_RECORDS) -> None:
        self._life_ms = life_ms
        self._limit = limit
        # In order of time.
        self._records: dict[str, StreamRecord] = {}

    def add(self, stream: str, upstream: str, version: str, now: int) -> None:
        """Record a stream that has begun; a contradiction makes its version unknown."""
        known = self._records.pop(stream, None)
        agrees = known is None or (known.upstream, known.version) == (upstream, version)
        self._records[stream] = StreamRecord(upstream, version if agrees else None, now)
        self._forget_oldest(now)

    def find(self, stream: str, now: int) -> StreamRecord | None:
        """Return the record of a stream, if there is one."""
        record = self._records.get(stream)
        if record is None or record.recorded_ms <= now - self._life_ms():
            return None
        return record

    def count(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def by_version(self, upstream: str, now: int) -> Iterator[tuple[str, list[str]]]:
        """Yield each version of an upstream with the streams that began there."""
        oldest_ms = now - self._life_ms()
        streams: dict[str, list[str]] = {}
        for stream, record in self._records.items():
            if (
                record.upstream == upstream
                and record.version is not None
                and record.recorded_ms > oldest_ms
            ):
                streams.setdefault(record.version, []).append(stream)
        yield from streams.items()

    def _forget_oldest(self, now: int) -> None:
        oldest_ms = now - self._life_ms()
        while self._records:
            stream, record = next(iter(self._records.items()))
            if len(self._records) <= self._limit and record.recorded_ms > oldest_ms:
                return
            del self._records[stream]


def holder_candidates(instances: Collection[str]) -> list[str]:
    """Return the instances among which the holders of each stream are chosen."""
    ranked = sorted(instances, key=lambda name: (-score(CANDIDATES_KEY, name), name))
    return ranked[:MAX_HOLDER_CANDIDATES]


def holders_of(stream: str, candidates: Collection[str], count: int) -> list[str]:
    """Return the instances that are told of a stream's version, the first one first."""
    return sorted(candidates, key=lambda name: (-score(stream, name), name))[:count]


def replicas_of_version(replicas: Sequence[Replica], version: str) -> frozenset[str]:
    """Return the ids of the replicas that have a software version."""
    return frozenset(replica.id for replica in replicas if replica.version == version)


def version_gone_refusal(version: str) -> Refusal:
    """Refuse to resume a stream at whose version no replica is left."""
    reason = f"no replica of the software version {version} that began the stream is left"
    return not_run_refusal(ErrorKind.CANNOT_RESUME, reason)
