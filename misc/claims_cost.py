"""Measure the store calls per claim, by rate of claims and number of shards.

Run as: python -m misc.claims_cost [--seconds S] [--latency-ms L] [--shards N ...]

Six instances claim and finish distinct keys with Poisson arrivals, on a simulated platform
that replies after a fixed latency. Time is simulated as well, so that the figures do not depend
on the machine. Columns: writes, write conflicts, reads and kilobytes written per claim (its
begin and its end together), total writes per second, the time to claim, and refused claims.
"""

import argparse
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from result import Ok
from twisted.internet.defer import Deferred

from papayapier.claims import records, service
from papayapier.claims.api import New
from papayapier.claims.records import SavedAnswer
from papayapier.claims.service import ClaimDeps, Claims
from papayapier.clock import MS_PER_S, FakeClock, fake_clock
from papayapier.metrics import make_metrics
from papayapier.settings import ClaimSettings
from tests.fake_store import FakePlatform

INSTANCES: Final = 6
RATES: Final = (6, 30, 120, 600, 2_400)
RUN_MS: Final = 200
DUE_MS: Final = 5_000
SAVED_ANSWER: Final = SavedAnswer(200, "application/json", bytes(300))
SEED: Final = 1


class Row(NamedTuple):
    """Hold the figures of one run."""

    shards: int
    rate: int
    writes: float
    conflicts: float
    reads: float
    kilobytes: float
    writes_per_s: float
    p50_ms: int
    p99_ms: int
    refused: int


def main() -> None:
    """Print a table of runs."""
    parser = argparse.ArgumentParser(description="measure store calls per claim")
    parser.add_argument("--seconds", type=int, default=10)
    parser.add_argument("--latency-ms", type=int, default=5)
    parser.add_argument("--shards", type=int, nargs="+", default=[records.SHARDS])
    args = parser.parse_args()
    print("shards  claims/s  writes  conflicts  reads     kB  writes/s  p50 ms  p99 ms  refused")
    for shards in args.shards:
        # SHARDS is deliberately not a setting (see records.SHARDS); only this comparison sets it.
        for module in (records, service):
            setattr(module, "SHARDS", shards)  # noqa: B010
        for rate in RATES:
            print(_format_row(measure(shards, rate, args.seconds, args.latency_ms)), flush=True)


def measure(shards: int, rate: int, seconds: int, latency_ms: int) -> Row:
    """Run claims at a rate and count the store calls that they make."""
    fake = fake_clock()
    platform = FakePlatform(fake.clock, latency_ms)
    rng = random.Random(SEED)
    instances = [_make_claims(fake, platform, index) for index in range(INSTANCES)]
    claim_times_ms: list[int] = []
    refused: list[str] = []
    started = 0
    next_arrival_ms = 0.0
    end_ms = seconds * MS_PER_S
    while fake.clock.now() < end_ms + DUE_MS:
        while next_arrival_ms <= fake.clock.now() and next_arrival_ms < end_ms:
            _start_claim(
                instances[started % INSTANCES],
                fake,
                f"k{started}",
                claim_times_ms.append,
                refused.append,
            )
            started += 1
            next_arrival_ms += rng.expovariate(rate) * MS_PER_S
        fake.jump(1)
    writes = sum(platform.writes.values())
    claim_times_ms.sort()
    return Row(
        shards,
        rate,
        writes / started,
        platform.conflicts / started,
        platform.calls["get"] / started,
        platform.bytes_in / started / 1_000,
        writes / seconds,
        claim_times_ms[len(claim_times_ms) // 2],
        claim_times_ms[len(claim_times_ms) * 99 // 100],
        len(refused),
    )


def _make_claims(fake: FakeClock, platform: FakePlatform, index: int) -> Claims:
    async def query_writer(_instance: str, _reference: str) -> str:
        return "silent"

    name = f"entry-{index}"
    return Claims(
        ClaimDeps(
            platform.store(name),
            fake.clock,
            random.Random(index),
            ClaimSettings(),
            make_metrics(),
            name,
            index,
            query_writer,
        )
    )


def _start_claim(
    claims: Claims,
    fake: FakeClock,
    key: str,
    on_claimed: Callable[[int], None],
    on_refused: Callable[[str], None],
) -> None:
    async def run() -> None:
        start_ms = fake.clock.now()
        outcome = await claims.begin("caller", key, b"content", start_ms + DUE_MS)
        if not isinstance(outcome, Ok) or not isinstance(outcome.ok_value, New):
            on_refused(key)
            return
        on_claimed(fake.clock.now() - start_ms)
        await fake.clock.sleep(RUN_MS)
        claims.finish(outcome.ok_value.token, SAVED_ANSWER)

    Deferred.fromCoroutine(run()).addErrback(lambda failure: failure.printTraceback())


def _format_row(row: Row) -> str:
    return (
        f"{row.shards:6}  {row.rate:8}  {row.writes:6.2f}  {row.conflicts:9.2f}  {row.reads:5.2f}"
        f"  {row.kilobytes:5.1f}  {row.writes_per_s:8.0f}  {row.p50_ms:6}  {row.p99_ms:6}"
        f"  {row.refused:7}"
    )


if __name__ == "__main__":
    main()
