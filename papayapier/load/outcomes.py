"""Record the outcomes that callers received for each call, and compare them with what ran.

A call is identified by the call id that an instance sends with each response; a request that
is resent with the same idempotency key gets the same id. The stand-ins count the same ids.
"""

from typing import Final, NamedTuple

from papayapier.load.client import RequestRecord
from papayapier.load.request_mix import Request
from papayapier.load.responses import RequestOutcome

NOT_RUN: Final = "not_run"
SHOWN: Final = 20


class _ReceivedOutcomes(NamedTuple):
    """Count the outcomes that callers received for one call."""

    request_ids: list[str]
    idempotent: bool
    complete: int
    not_run: int
    other: int


class OutcomeTracker:
    """Collect the outcomes of requests during a run."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedOutcomes] = {}
        self.without_call_id = 0

    def observe(self, req: Request, record: RequestRecord) -> None:
        """Record one finished request."""
        if not record.call_id:
            self.without_call_id += 1
            return
        empty = _ReceivedOutcomes([], req.cls.idempotent, 0, 0, 0)
        received = self._received.get(record.call_id, empty)
        complete = record.verdict.request_outcome is RequestOutcome.COMPLETE
        refused = (
            record.verdict.request_outcome is RequestOutcome.REFUSED
            and record.verdict.outcome == NOT_RUN
        )
        self._received[record.call_id] = received._replace(
            request_ids=[*received.request_ids, req.request_id],
            complete=received.complete + complete,
            not_run=received.not_run + refused,
            other=received.other + (not complete and not refused),
        )

    def contradictions(self, started: dict[str, int]) -> list[str]:
        """Return each contradiction between the received outcomes and what ran."""
        errors = []
        for call_id, received in self._received.items():
            runs = started.get(call_id, 0)
            if received.not_run and not received.complete and not received.other and runs:
                errors.append(
                    f"{_request_names(received)} was refused as not run, and ran {runs} times"
                )
            if not received.idempotent and runs > 1:
                errors.append(f"{_request_names(received)} is not idempotent, and ran {runs} times")
            if received.complete and not runs:
                errors.append(f"{_request_names(received)} was answered, and never ran")
        return errors

    def compared_count(self) -> int:
        """Return the number of calls that can be compared."""
        return len(self._received)


def repeated_calls(started: dict[str, int]) -> list[str]:
    """Return each call that ran more than once at replicas with non-idempotent calls only.

    OutcomeTracker cannot check calls whose caller received no response headers; this can.
    """
    return [f"call {call_id} ran {times} times" for call_id, times in started.items() if times > 1]


def _request_names(received: _ReceivedOutcomes) -> str:
    return " / ".join(received.request_ids)
