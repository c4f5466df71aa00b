"""Read an instance's settings: JSON with comments, checked completely at load.

Settings are what one process must know to start. Everything that operators change while
the system runs is configuration (config/), kept in the platform's store.
"""

from pathlib import Path
from typing import Annotated, NamedTuple

from msgspec import Meta
from result import Err, Ok, Result

from papayapier import codec

Port = Annotated[int, Meta(ge=0, le=65535)]
Ip = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
PositiveMs = Annotated[int, Meta(ge=1, le=86_400_000)]
Positive = Annotated[int, Meta(ge=1, le=1_000_000_000)]


class InstanceSettings(NamedTuple):
    """Identify this instance; peers and the balancer reach it at host."""

    id: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    data_centre: str
    region: str
    host: Ip = "127.0.0.1"


class PlatformSettings(NamedTuple):
    """Locate the platform's object API.

    longest_pause_ms bounds the growing pauses between tries while it does not answer.
    """

    host: Ip
    port: Port
    timeout_ms: PositiveMs = 2_000
    longest_pause_ms: PositiveMs = 5_000
    reads_per_s: Positive = 200
    writes_per_s: Positive = 60


class KeyEntry(NamedTuple):
    """Map the SHA-256 of a key (hex) to the name of its holder."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    key_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]


class EntrySettings(NamedTuple):
    """Set the callers' address and bounds; with no callers listed, any caller may come."""

    port: Port = 8080
    max_body_bytes: Positive = 4_000_000
    max_queued: Positive = 2_000
    callers: tuple[KeyEntry, ...] = ()


class OperatorSettings(NamedTuple):
    """Set the operators' address, separate from the callers'."""

    port: Port = 8081
    operators: tuple[KeyEntry, ...] = ()


class Contact(NamedTuple):
    """Locate one instance among those to ask when the platform cannot be reached."""

    id: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    host: Ip
    peer_port: Annotated[int, Meta(ge=1, le=65535)]
    data_centre: str
    region: str


class PeerSettings(NamedTuple):
    """Set the address and pace of the protocol between instances.

    Regular heartbeats slow down where they would pass bytes_per_s. An early one goes out when
    open calls changed by early_calls, at most one per early_ms, and only while early ones stay
    within early_bytes_per_s on average. Up to full_mesh instances all hear each other; beyond,
    each picks some (picks) in its data centre, relays connect the data centres, and regular
    heartbeats are sparse_heartbeat_ms apart, those of a hub, which go to everybody,
    hub_heartbeat_ms. key_file
    holds shared keys, one a line; the first signs. contacts are a few instances that a start
    asks for the instance list while the platform cannot be reached; naming itself does no harm.
    """

    port: Port = 8082
    heartbeat_ms: PositiveMs = 500
    sparse_heartbeat_ms: PositiveMs = 500
    hub_heartbeat_ms: PositiveMs = 500
    silent_after_ms: PositiveMs = 2_000
    early_ms: PositiveMs = 20
    early_calls: Positive = 2
    bytes_per_s: Positive = 3_000
    early_bytes_per_s: Positive = 20_000
    full_mesh: Annotated[int, Meta(ge=2, le=64)] = 16
    picks: Annotated[int, Meta(ge=3, le=32)] = 4
    relays: Annotated[int, Meta(ge=1, le=8)] = 2
    key_file: str = ""
    contacts: tuple[Contact, ...] = ()


class UpstreamSettings(NamedTuple):
    """Set the timers towards upstreams, and how many replicas of each are followed."""

    connect_timeout_ms: PositiveMs = 500
    first_byte_ms: PositiveMs = 10_000
    progress_ms: PositiveMs = 2_000
    load_poll_ms: PositiveMs = 1_000
    subset: Positive = 32


class BatchSettings(NamedTuple):
    """Set how batch jobs are kept and run."""

    shards: Annotated[int, Meta(ge=1, le=4096)] = 32
    lease_ms: PositiveMs = 6_000
    renew_ms: PositiveMs = 2_000
    chunk_items: Annotated[int, Meta(ge=1, le=10_000)] = 1_000
    item_attempts: Annotated[int, Meta(ge=1, le=20)] = 3
    retention_ms: Positive = 604_800_000
    max_items: Positive = 750_000
    result_buffer_bytes: Positive = 16_000_000
    max_file_bytes: Positive = 1_000_000_000


class ConfigSettings(NamedTuple):
    """Set how configuration spreads; data_folder may be empty."""

    poll_ms: PositiveMs = 2_000
    watch_ms: PositiveMs = 10_000
    stale_after_ms: PositiveMs = 30_000
    data_folder: str = ""


class DrainSettings(NamedTuple):
    """Set the pace of a planned stop."""

    balancer_lag_ms: PositiveMs = 3_000
    limit_ms: PositiveMs = 120_000


class LogSettings(NamedTuple):
    """Choose the form and lowest level of log lines."""

    form: Annotated[str, Meta(pattern="^(json|text)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class ClaimSettings(NamedTuple):
    """Set how claims on idempotency keys are kept; a key is known for retention_ms.

    Instances whose clocks differ by a noticeable part of retention_ms would expire claims
    early, and a key sent again would then run again.
    """

    window_ms: PositiveMs = 4
    writes_per_s: Positive = 30
    head_bytes: Annotated[int, Meta(ge=1_000, le=90_000)] = 64_000
    answer_bytes: Annotated[int, Meta(ge=0, le=100_000)] = 4_000
    retention_ms: Positive = 86_400_000


class OrderSettings(NamedTuple):
    """Set how the controller gives orders to engines.

    loads_per_min and loads_at_once keep all loads together inside the weight store's rate.
    """

    lease_ms: PositiveMs = 6_000
    renew_ms: PositiveMs = 2_000
    loads_per_min: Annotated[int, Meta(ge=1, le=10_000)] = 12
    loads_at_once: Annotated[int, Meta(ge=1, le=1_000)] = 2


class Settings(NamedTuple):
    """Hold everything that one process must know to start."""

    instance: InstanceSettings
    platform: PlatformSettings
    entry: EntrySettings = EntrySettings()
    operator: OperatorSettings = OperatorSettings()
    peer: PeerSettings = PeerSettings()
    upstream: UpstreamSettings = UpstreamSettings()
    batch: BatchSettings = BatchSettings()
    config: ConfigSettings = ConfigSettings()
    drain: DrainSettings = DrainSettings()
    log: LogSettings = LogSettings()
    claims: ClaimSettings = ClaimSettings()
    orders: OrderSettings = OrderSettings()


def load(path: Path) -> Result[Settings, str]:
    """Read and check a settings file; the error names file, field and reason."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    loaded = codec.from_commented_json(text.ok_value, Settings)
    return loaded.map_err(lambda why: f"{path}: {why}")


def read_text(path: Path) -> Result[str, str]:
    """Read a settings file, or say why that is not possible."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return Err(f"{path}: cannot be read: {(exc.strerror or str(exc)).lower()}")
    except UnicodeDecodeError:
        return Err(f"{path}: cannot be read: not utf-8 text")
