"""Define what instances tell each other of work under which replicas were lost."""

from typing import NamedTuple

from papayapier.policy.crashes import Loss


class LossesTold(NamedTuple):
    """Tell of lost replicas, of works answered since a loss, and of some answered before it."""

    losses: tuple[Loss, ...]
    answered: tuple[str, ...] = ()
    lately: tuple[str, ...] = ()


class LatelyAsk(NamedTuple):
    """Ask which of some works with losses were answered lately; LossesTold says those only."""

    works: tuple[str, ...]


class LossesAsk(NamedTuple):
    """Ask for all losses that the receiver knows; the answer is a LossesTold or NoLosses."""


class NoLosses(NamedTuple):
    """Tell who has asked that no loss is known."""
