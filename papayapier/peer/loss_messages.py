"""Define the messages in which instances report replica losses to each other."""

from typing import NamedTuple

from papayapier.policy.crash_quarantine import ReplicaLoss
from papayapier.policy.part_quarantine import NO_REPORTS, PartReports


class LossesTold(NamedTuple):
    """Report replica losses and the fingerprints of requests that were answered.

    answered lists fingerprints answered since a loss, recently_answered those answered recently
    before it. parts reports the losses and answers of parts of prompts.
    """

    losses: tuple[ReplicaLoss, ...]
    answered: tuple[str, ...] = ()
    recently_answered: tuple[str, ...] = ()
    parts: PartReports = NO_REPORTS


class LatelyAsk(NamedTuple):
    """Request which of some fingerprints with losses were answered recently.

    The reply is a LossesTold with only those; there is none where no fingerprint was answered.
    """

    fingerprints: tuple[str, ...]


class LossesAsk(NamedTuple):
    """Request all losses that the receiver knows; the reply is LossesTold or NoLosses."""


class NoLosses(NamedTuple):
    """Answer LossesAsk where the sender knows of no loss."""
