"""Keep refusals true about every send of a request, not only about the last one."""

from papayapier.errors import Outcome, Refusal


def make_true(refusal: Refusal, maybe_sent: bool) -> Refusal:
    """Correct a refusal's outcome by what the earlier sends may have done.

    The parts that refuse know of one send at most. Without this, a request whose first send
    was lost and whose second was refused a connection would be told that it did not run.
    """
    if maybe_sent and refusal.outcome is Outcome.NOT_RUN:
        return refusal._replace(outcome=Outcome.UNKNOWN)
    return refusal
