"""Decide which sends were lost with their replica, and compute request fingerprints.

A caller that retries sends the same request under another request id and to any instance, so ids
cannot identify it. Finding requests that crash replicas needs a stable identity: a digest of what
the replica receives.
"""

import hashlib
from collections.abc import Sequence
from typing import Final

from papayapier import events
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

# 64 bits: among a million requests at once, the probability of a collision is 3 in 10^8.
FINGERPRINT_BYTES: Final = 8
# Failures of a call whose replica ends: its connection is reset, or nothing more arrives.
LOSS_KINDS: Final = frozenset({FailureKind.TRUNCATED, FailureKind.TIMED_OUT, FailureKind.DEADLINE})


def request_fingerprint(method: str, host: str, target: str, body: bytes, team: str = "") -> str:
    """Return the fingerprint of a request, which is the same for each retry of it.

    Equal requests of two teams differ, so that losses under one team's requests do not quarantine
    the other team's.
    """
    header = f"{method}\n{host}\n{target}\n{team}\n"
    digest = hashlib.blake2b(header.encode(), digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return digest.hexdigest()


def no_parts() -> tuple[str, ...]:
    """Return no parts: those of a request whose prompt shares none with others."""
    return ()


def is_lost(failure: Failure) -> bool:
    """Return whether a send may have reached its replica and ended without an answer from it."""
    return failure.sent is Sent.MAYBE and failure.kind in LOSS_KINDS


def log_lost_send(
    request_id: str,
    fingerprint: str,
    replica: Replica,
    failure: Failure,
    parts: Sequence[str],
    answering_ms: int | None,
) -> None:
    """Log a lost send, so that what lost sends have in common can be found across instances.

    answering_ms is the time since the first data of its answer, or None without any.
    """
    events.emit(
        events.SEND_LOST,
        request=request_id,
        work=fingerprint,
        replica=replica.id,
        kind=failure.kind.value,
        reason=failure.reason,
        parts=list(parts),
        answering_ms=answering_ms,
    )
