"""Read the settings of a process on the users' platform: JSON with comments, checked at load.

The platform fills in deploy/settings.json; the names here are this project's own.
"""

from pathlib import Path
from typing import Annotated, Final, NamedTuple

from msgspec import Meta
from result import Err, Result

from papayapier import codec
from papayapier.clock import MS_PER_S
from papayapier.policy.allowances import AllowanceMargin
from papayapier.settings import (
    InstanceSettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Positive,
    PositiveMs,
    UpstreamSettings,
    read_text,
)
from papayapier.store.api import MAX_VALUE_BYTES

Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]

# Divisor of the store's rates, which hold for all processes together: one process may use a quarter
# of them. The smallest deployment has nine processes; those that get a 429 slow down.
RATE_DIVISOR: Final = 4
BYTES_PER_MB: Final = 1_000_000


class HostPort(NamedTuple):
    """Hold an address to listen on or to call."""

    host: str
    port: int


class StoreSettings(NamedTuple):
    """Locate the platform's store, and state its rates for all processes together.

    timeout_ms bounds one call; the store answers in milliseconds, or in 200 ms when it is slow.
    longest_pause_ms bounds the pauses between retries: a process that the store refused must know
    within a second of its return which replicas are leaving. value_bytes is the maximum size of an
    object, with its metadata.
    """

    address: Address
    reads_per_s: Positive
    writes_per_s: Positive
    timeout_ms: PositiveMs = 1_200
    longest_pause_ms: PositiveMs = 500
    value_bytes: Positive = MAX_VALUE_BYTES

    def platform(self) -> PlatformSettings:
        """Return the settings for calls to the store."""
        host, port = split_address(self.address)
        reads, writes = self.reads_per_s // RATE_DIVISOR, self.writes_per_s // RATE_DIVISOR
        return PlatformSettings(
            host, port, self.timeout_ms, self.longest_pause_ms, max(1, reads), max(1, writes)
        )


class ListenSettings(NamedTuple):
    """Set the addresses for callers and for readiness checks."""

    callers: Address
    readiness: Address


class FollowSettings(NamedTuple):
    """Set how long a watch of the store waits, and how often all objects are listed.

    On a stalled connection changes stay unnoticed until the watch times out: watch_ms and the
    store's timeout_ms together bound how long a change can be missed.
    """

    watch_ms: PositiveMs = 3_000
    poll_ms: PositiveMs = 20_000


class StopSettings(NamedTuple):
    """Set the times of a planned stop; the platform kills the process after within_s."""

    within_s: Positive
    balancer_lag_ms: PositiveMs = 2_500
    reserve_ms: PositiveMs = 500

    def limit_ms(self) -> int:
        """Return the time after which a stop aborts the remaining work."""
        return max(self.reserve_ms, self.within_s * MS_PER_S - self.reserve_ms)


class JobSettings(NamedTuple):
    """Set how long results stay readable after their job was submitted.

    folder is where a keeper stores jobs while the store is unreachable; empty for a machine without
    a disk. disk_losses is how many disks may be lost at once; one more disk must store each job.
    """

    keep_s: Positive = 120
    folder: str = ""
    disk_losses: Annotated[int, Meta(ge=0, le=100)] = 1

    def copies(self) -> int:
        """Return how many disks must store a job."""
        return self.disk_losses + 1


class AllowanceSettings(NamedTuple):
    """Bound what all instances together send of a team beyond its rate and burst.

    In any window_s at most (rate x window_s + burst) x (1 + overrun) + slack.
    """

    window_s: Annotated[float, Meta(gt=0, le=3_600)] = 5.0
    overrun: Annotated[float, Meta(ge=0, le=10)] = 0.0
    slack: Annotated[float, Meta(ge=0, le=1_000_000)] = 0.0

    def bound(self) -> AllowanceMargin:
        """Return the bound that the granters apply."""
        return AllowanceMargin(int(self.window_s * MS_PER_S), self.overrun, self.slack)


class MemorySettings(NamedTuple):
    """Bound the bytes an entry buffers for callers: request bodies and unread parts of answers.

    machine_mb is the machine's memory, held_share the share of it that may be used for buffers;
    machine_mb 0 means no bound.
    """

    machine_mb: Annotated[int, Meta(ge=0, le=10_000_000)] = 0
    held_share: Annotated[float, Meta(gt=0, le=1)] = 0.2

    def held_bytes(self) -> int:
        """Return the maximum number of buffered bytes."""
        return int(self.machine_mb * BYTES_PER_MB * self.held_share)


class PlacingSettings(NamedTuple):
    """Set where an online call waits for capacity, in a fleet too large for a full mesh.

    With queue it waits at the hub that places all calls of the upstream's partition, so that ranks,
    callers and due times are compared across the fleet. Without it each instance queues its calls.
    """

    queue: bool = False


class NodeSettings(NamedTuple):
    """Hold all settings of one process; a keeper has no listen section."""

    instance: InstanceSettings
    store: StoreSettings
    stop: StopSettings
    peer: PeerSettings
    listen: ListenSettings | None = None
    upstream: UpstreamSettings = UpstreamSettings()
    follow: FollowSettings = FollowSettings()
    jobs: JobSettings = JobSettings()
    allowance: AllowanceSettings = AllowanceSettings()
    placing: PlacingSettings = PlacingSettings()
    memory: MemorySettings = MemorySettings()
    log: LogSettings = LogSettings()
    max_queued: Positive = 2_000


def load(path: Path) -> Result[NodeSettings, str]:
    """Read and check a settings file; an error names the file, the field and the reason."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    loaded = codec.from_commented_json(text.ok_value, NodeSettings)
    return loaded.map_err(lambda why: f"{path}: {why}")


def split_address(address: str) -> HostPort:
    """Return host and port of a checked address."""
    host, _, port = address.rpartition(":")
    return HostPort(host, int(port))
