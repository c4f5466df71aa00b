"""Read an instance's settings: JSON with comments, completely validated when loaded.

Settings contain what one process needs to start. Everything that operators change while the
system runs is configuration (config/), which is in the platform's store.
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

    longest_pause_ms limits the growing pauses between attempts while it does not answer.
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
    """Set the callers' port and limits; if callers is empty, any caller is accepted."""

    port: Port = 8080
    max_body_bytes: Positive = 4_000_000
    max_queued: Positive = 2_000
    callers: tuple[KeyEntry, ...] = ()


class OperatorSettings(NamedTuple):
    """Set the operators' port, separate from the callers' port."""

    port: Port = 8081
    operators: tuple[KeyEntry, ...] = ()


class Contact(NamedTuple):
    """Locate an instance to query for the instance list while the platform is unreachable."""

    id: Annotated[str, Meta(pattern=r"^[A-Za-z0-9._-]{1,64}$")]
    host: Ip
    peer_port: Annotated[int, Meta(ge=1, le=65535)]
    data_centre: str
    region: str


class PeerSettings(NamedTuple):
    """Set the port and intervals of the protocol between instances.

    Regular heartbeats slow down where they would exceed bytes_per_s. An early heartbeat is sent
    when open calls changed by early_calls, at most one per early_ms, and only while early
    heartbeats stay within early_bytes_per_s on average. Up to full_mesh instances all exchange
    heartbeats; in a larger fleet, each connects to some (picks) in its data centre, relays
    connect the data centres, regular heartbeats are sent every sparse_heartbeat_ms, and a hub
    sends its own to all instances every hub_heartbeat_ms. key_file contains shared keys, one
    per line; the first signs. contacts are a few instances that a starting instance queries for
    the instance list while the platform is unreachable; its own entry among them is ignored.
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
    """Set the timeouts for upstreams, and how many replicas of each an instance uses."""

    connect_timeout_ms: PositiveMs = 500
    first_byte_ms: PositiveMs = 10_000
    progress_ms: PositiveMs = 2_000
    load_poll_ms: PositiveMs = 1_000
    subset: Positive = 32


class BatchSettings(NamedTuple):
    """Set how batch jobs are stored and run."""

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
    """Set how configuration is distributed; an empty data_folder means that there is none."""

    poll_ms: PositiveMs = 2_000
    watch_ms: PositiveMs = 10_000
    stale_after_ms: PositiveMs = 30_000
    data_folder: str = ""


class DrainSettings(NamedTuple):
    """Set the duration of the steps of a graceful shutdown."""

    balancer_lag_ms: PositiveMs = 3_000
    limit_ms: PositiveMs = 120_000


class LogSettings(NamedTuple):
    """Set the format and minimum level of log lines."""

    form: Annotated[str, Meta(pattern="^(json|text)$")] = "json"
    level: Annotated[str, Meta(pattern="^(debug|info|warning|error)$")] = "info"


class ClaimSettings(NamedTuple):
    """Set how claims on idempotency keys are stored; a key is remembered for retention_ms.

    If the clocks of instances differed by a large fraction of retention_ms, claims would expire
    early, and a request that is resent with the same key would run again.
    """

    window_ms: PositiveMs = 4
    writes_per_s: Positive = 30
    head_bytes: Annotated[int, Meta(ge=1_000, le=90_000)] = 64_000
    answer_bytes: Annotated[int, Meta(ge=0, le=100_000)] = 4_000
    retention_ms: Positive = 86_400_000


class OrderSettings(NamedTuple):
    """Set how the controller gives orders to engines.

    loads_per_min and loads_at_once keep the total of all loads within the weight store's rate.
    """

    lease_ms: PositiveMs = 6_000
    renew_ms: PositiveMs = 2_000
    loads_per_min: Annotated[int, Meta(ge=1, le=10_000)] = 12
    loads_at_once: Annotated[int, Meta(ge=1, le=1_000)] = 2


class Settings(NamedTuple):
    """Group everything that one process needs to start."""

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
    """Read and validate a settings file; the error names file, field and reason."""
    text = read_text(path)
    if isinstance(text, Err):
        return text
    loaded = codec.from_commented_json(text.ok_value, Settings)
    return loaded.map_err(lambda reason: f"{path}: {reason}")


def read_text(path: Path) -> Result[str, str]:
    """Read a settings file; the error says why it cannot be read."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return Err(f"{path}: cannot be read: {(exc.strerror or str(exc)).lower()}")
    except UnicodeDecodeError:
        return Err(f"{path}: cannot be read: not utf-8 text")
