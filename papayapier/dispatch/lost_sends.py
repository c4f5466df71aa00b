"""Tell which sends were lost at their replica, and name the work by what is the same each time.

A caller that comes again sends the same work under another request id and at any instance, so ids
cannot show that it is the same. Whoever looks for work that ends its replicas needs a name that
stays: a digest of what the replica is given.
"""

import hashlib
from typing import Final

from papayapier import events
from papayapier.upstream.api import Failure, FailureKind, Replica, Sent

# 64 bits: among a million works at once the chance that two share a name is 3 in 10^8.
DIGEST_BYTES: Final = 8
# Ways in which a call ends when its replica ends: its connections are reset, or nothing comes.
LOST: Final = frozenset({FailureKind.CUT, FailureKind.SILENT, FailureKind.DUE})


def name_work(method: str, host: str, target: str, body: bytes, team: str = "") -> str:
    """Return the name of a work, the same for each return of it.

    The same words of two teams are two works: what one of them ends is not held against the other.
    """
    place = f"{method}\n{host}\n{target}\n{team}\n"
    digest = hashlib.blake2b(place.encode(), digest_size=DIGEST_BYTES)
    digest.update(body)
    return digest.hexdigest()


def is_lost(failure: Failure) -> bool:
    """Tell whether a send may have reached its replica and ended without a word from it."""
    return failure.sent is Sent.MAYBE and failure.kind in LOST


def note_lost(request_id: str, work: str, replica: Replica, failure: Failure) -> None:
    """Log a send that was lost, so that the sends of one work can be found at all instances."""
    events.emit(
        events.SEND_LOST,
        request=request_id,
        work=work,
        replica=replica.id,
        kind=failure.kind.value,
        reason=failure.reason,
    )
