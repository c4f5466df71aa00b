"""Define all metrics.

Each Metrics record has its own registry, so that several instances can run in one process
(the demo, tests) without sharing counts.
"""

from typing import Final, NamedTuple

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from papayapier import lasting_tasks

LATENCY_BUCKETS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class Metrics(NamedTuple):
    """Group the metrics of one instance; times are in seconds, as usual with Prometheus."""

    registry: CollectorRegistry
    requests: Counter
    latency: Histogram
    first_token: Histogram
    queue_depth: Gauge
    queue_wait: Histogram
    held_bytes: Gauge
    places_held: Gauge
    places_refused: Counter
    refusals: Counter
    retries: Counter
    streams_resumed: Counter
    sends_lost: Counter
    sends_lost_unanswered: Counter
    silences: Counter
    works_held: Gauge
    parts_held: Gauge
    upstream_calls: Counter
    loads_unread: Counter
    replica_in_flight: Gauge
    replicas_usable: Gauge
    batch_limit: Gauge
    batch_yields: Counter
    batch_items: Counter
    batch_tokens: Counter
    shards_held: Gauge
    jobs_at_risk: Gauge
    store_calls: Counter
    store_bytes: Counter
    claim_ends: Counter
    claim_writes: Counter
    claim_records: Counter
    peer_bytes: Counter
    peer_messages: Counter
    peers_live: Gauge
    config_version: Gauge
    config_age: Gauge
    invariant_failures: Gauge
    task_failures: Gauge


def make_metrics() -> Metrics:
    """Register the metrics of one instance."""
    reg = CollectorRegistry()
    name = "papayapier_"
    return Metrics(
        registry=reg,
        requests=Counter(name + "requests", "Online requests", ["profile", "end"], registry=reg),
        latency=_seconds(reg, name + "latency", "Time to the complete answer"),
        first_token=_seconds(reg, name + "first_token", "Time to the first token"),
        queue_depth=Gauge(name + "queue_depth", "Queued online requests", registry=reg),
        queue_wait=_seconds(reg, name + "queue_wait", "Time in the queue"),
        held_bytes=Gauge(name + "held_bytes", "Bytes buffered for callers", registry=reg),
        places_held=Gauge(name + "places_held", "Peers' calls queued here", registry=reg),
        places_refused=Counter(
            name + "places_refused", "Peers' calls refused here", ["upstream"], registry=reg
        ),
        refusals=Counter(name + "refusals", "Refusals", ["kind", "outcome"], registry=reg),
        retries=Counter(name + "retries", "Resent requests", ["upstream"], registry=reg),
        streams_resumed=Counter(
            name + "streams_resumed",
            "Sends that resume a stream, by its software version against that of the last send",
            ["upstream", "version"],
            registry=reg,
        ),
        sends_lost=Counter(name + "sends_lost", "Sends without any answer", ["kind"], registry=reg),
        sends_lost_unanswered=Counter(
            name + "sends_lost_unanswered",
            "Lost sends before any data of their answer arrived",
            ["kind"],
            registry=reg,
        ),
        silences=Counter(
            name + "silences",
            "Notifications of a replica's silence under an open answer",
            ["upstream", "decision"],
            registry=reg,
        ),
        works_held=Gauge(name + "works_held", "Quarantined request fingerprints", registry=reg),
        parts_held=Gauge(name + "parts_held", "Quarantined parts of prompts", registry=reg),
        upstream_calls=Counter(
            name + "upstream_calls", "Calls to replicas", ["upstream", "end"], registry=reg
        ),
        loads_unread=Counter(
            name + "loads_unread", "Load headers that cannot be decoded", ["upstream"], registry=reg
        ),
        replica_in_flight=Gauge(
            name + "replica_in_flight", "Open calls to a replica", ["replica", "work"], registry=reg
        ),
        replicas_usable=Gauge(
            name + "replicas_usable", "Usable replicas", ["upstream"], registry=reg
        ),
        batch_limit=Gauge(
            name + "batch_limit", "Batch streams allowed at a replica", ["replica"], registry=reg
        ),
        batch_yields=Counter(
            name + "batch_yields", "Batch streams preempted for online", registry=reg
        ),
        batch_items=Counter(
            name + "batch_items", "Batch items with an outcome", ["end"], registry=reg
        ),
        batch_tokens=Counter(
            name + "batch_tokens", "Tokens of completed batch items", registry=reg
        ),
        shards_held=Gauge(name + "shards_held", "Shard leases held", registry=reg),
        jobs_at_risk=Gauge(
            name + "jobs_at_risk", "Jobs that may miss their due time", registry=reg
        ),
        store_calls=Counter(name + "store_calls", "Store calls", ["call", "end"], registry=reg),
        store_bytes=Counter(name + "store_bytes", "Store bytes", ["direction"], registry=reg),
        claim_ends=Counter(name + "claim_ends", "Claims begun, by result", ["end"], registry=reg),
        claim_writes=Counter(name + "claim_writes", "Claim writes", ["end"], registry=reg),
        claim_records=Counter(name + "claim_records", "Claim records written", registry=reg),
        peer_bytes=Counter(name + "peer_bytes", "Peer bytes", ["direction"], registry=reg),
        peer_messages=Counter(
            name + "peer_messages", "Peer messages", ["kind", "direction"], registry=reg
        ),
        peers_live=Gauge(name + "peers_live", "Peers whose heartbeats arrive", registry=reg),
        config_version=Gauge(
            name + "config_version", "Configuration version in force", registry=reg
        ),
        config_age=Gauge(
            name + "config_age", "Seconds since the configuration was last confirmed", registry=reg
        ),
        invariant_failures=Gauge(name + "invariant_failures", "Violated invariants", registry=reg),
        task_failures=_task_failures(name, reg),
    )


def _seconds(reg: CollectorRegistry, name: str, text: str) -> Histogram:
    return Histogram(name + "_seconds", text, ["work"], buckets=LATENCY_BUCKETS, registry=reg)


def _task_failures(prefix: str, reg: CollectorRegistry) -> Gauge:
    text = "Errors that a task or handler of this process raised, and went on after"
    failures = Gauge(prefix + "task_failures", text, registry=reg)
    failures.set_function(lasting_tasks.failure_count)
    return failures
