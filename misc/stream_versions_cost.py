"""Measure what a stream and an instance pay to know the software versions of streams.

Run as: python -m misc.stream_versions_cost

The exchange runs against a hub that encodes each message and drops it. Times are processor time of
this machine; bytes are those of a frame, without the connection's own. The second table works them
out for the target size, with all streams in upstreams of two versions, and with those of one model
of eleven.
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Any, Final, cast

from papayapier.clock import fake_clock
from papayapier.peer import wire
from papayapier.peer.messages import Message
from papayapier.peer.topology import LinkPlan
from papayapier.peer.version_exchange import VersionExchange, VersionExchangeDeps
from papayapier.peer.version_messages import StreamsBegun
from papayapier.policy.stream_versions import (
    HOLDERS,
    MAX_HOLDER_CANDIDATES,
    MIN_STREAM_LIFE_MS,
    StreamRecords,
)
from papayapier.upstream.api import Replica

STREAMS: Final = 20_000
KEEPERS: Final = 200
TARGET_STREAMS_PER_S: Final = 65_000
TARGET_INSTANCES: Final = 1_400
TARGET_MODELS: Final = 11
US_PER_S: Final = 1e6
ENTRY: Final = "frontend-cr-central-a-14"
UPSTREAM: Final = "lm-sulina"
# What IP and TCP add to a frame and to its acknowledgement, and the frame's length.
BYTES_PER_MESSAGE: Final = 2 * 40 + 8


class EncodingHub:
    """Encode each message like a PeerHub, and count it."""

    def __init__(self) -> None:
        self.messages = 0
        self.bytes = 0
        self.handlers: dict[type[Message], Callable[[str, Any], object]] = {}

    def plan(self) -> LinkPlan:
        return LinkPlan(frozenset(), False, False)

    def live(self) -> list[str]:
        return []

    def subscribe(self, kind: type[Message], handler: Callable[[str, Any], object]) -> None:
        self.handlers[kind] = handler

    def send(self, _peer_id: str, message: Message) -> bool:
        self.messages += 1
        self.bytes += len(wire.encode(ENTRY, message))
        return True


def make_exchange(versions: int) -> tuple[VersionExchange, EncodingHub]:
    """Return the exchange of an entry whose upstream has some versions."""
    hub = EncodingHub()
    keepers = frozenset(f"storage-cr-central-a-{number}" for number in range(KEEPERS))

    async def confirm() -> bool:
        return True

    fake = fake_clock()
    fake.jump(2 * MIN_STREAM_LIFE_MS)
    deps = VersionExchangeDeps(
        fake.clock, cast(Any, hub), ENTRY, lambda: keepers, confirm, lambda: 0
    )
    exchange = VersionExchange(deps, lambda: MIN_STREAM_LIFE_MS)
    exchange.on_listed(
        [Replica(f"r{n}", UPSTREAM, "h", 1, "dc", version=f"v{n}") for n in range(versions)]
    )
    return exchange, hub


def stream_ids() -> list[str]:
    """Return request ids as long as those of callers."""
    return [f"{number:016x}" for number in range(STREAMS)]


def us_per_call(call: Callable[[str], object], ids: list[str]) -> float:
    """Return the processor time of one call, in microseconds."""
    started = time.process_time()
    for stream in ids:
        call(stream)
    return (time.process_time() - started) / len(ids) * US_PER_S


def us_to_hold() -> float:
    """Return the processor time that a holder spends on one report, with decoding."""
    exchange, hub = make_exchange(2)
    handler = hub.handlers[StreamsBegun]

    def receive(stream: str) -> None:
        frame = wire.encode(ENTRY, StreamsBegun(UPSTREAM, "v1", (stream,)))
        handler(ENTRY, wire.decode(frame).unwrap().message)

    assert exchange is not None
    return us_per_call(receive, stream_ids())


def bytes_per_record() -> float:
    """Return the memory of one record."""
    ids = stream_ids()
    tracemalloc.start()
    records = StreamRecords(lambda: MIN_STREAM_LIFE_MS)
    for stream in ids:
        records.add(str(stream), UPSTREAM, "v1", 0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The request id itself is shared with the message that it came from.
    return size / records.count() + len(ids[0]) + 49


def main() -> None:
    """Print the cost of a stream, and that of an instance at the target size."""
    one, one_hub = make_exchange(1)
    two, two_hub = make_exchange(2)
    one_us = us_per_call(lambda stream: one.on_begun(stream, UPSTREAM, "v0"), stream_ids())
    two_us = us_per_call(lambda stream: two.on_begun(stream, UPSTREAM, "v0"), stream_ids())
    held_us = us_to_hold()
    record_bytes = bytes_per_record()
    frame_bytes = two_hub.bytes / two_hub.messages
    print(f"a stream of one version: {one_us:.1f} us, {one_hub.messages} messages")
    print(
        f"a stream of two versions: {two_us:.1f} us, {two_hub.messages / STREAMS:.0f} messages"
        f" of {frame_bytes:.0f} bytes; {held_us:.1f} us at each holder"
    )
    print(f"a record: {record_bytes:.0f} bytes")
    life_s = MIN_STREAM_LIFE_MS / 1_000
    for name, share in (("all models", 1.0), (f"one of {TARGET_MODELS}", 1 / TARGET_MODELS)):
        rate = TARGET_STREAMS_PER_S * share
        own = rate / TARGET_INSTANCES
        held = rate * HOLDERS / MAX_HOLDER_CANDIDATES
        sent_bytes = own * HOLDERS * (frame_bytes + BYTES_PER_MESSAGE)
        held_bytes = held * (frame_bytes + BYTES_PER_MESSAGE)
        print(
            f"{name} at two versions: an entry {own:.1f} streams/s, {own * two_us / 1e4:.2f} % of a"
            f" core, {sent_bytes / 1e3:.1f} KB/s, {own * life_s * record_bytes / 1e3:.0f} KB;"
            f" a holder {held:.0f} reports/s, {held * held_us / 1e4:.1f} % of a core,"
            f" {held_bytes / 1e3:.0f} KB/s, {held * life_s * record_bytes / 1e6:.1f} MB"
        )


if __name__ == "__main__":
    main()
