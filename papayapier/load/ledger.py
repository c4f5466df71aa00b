"""Record the outcomes that callers received for each call, and compare them with what ran.

A call is identified by the call id that an instance sends with each response; a request that
is resent with the same idempotency key gets the same id. The stand-ins count the same ids.
"""

from typing import Final, NamedTuple

from papayapier.load.answer import End
from papayapier.load.client import Answered
from papayapier.load.mix import Request

NOT_RUN: Final = "not_run"
SHOWN: Final = 20


class _Told(NamedTuple):
    """Count the outcomes that callers received for one call."""

    request_ids: list[str]
    idempotent: bool
    whole: int
    not_run: int
    other: int


class Ledger:
    """Collect the outcomes of requests during a run."""

    def __init__(self) -> None:
        self._told: dict[str, _Told] = {}
        self.unnamed = 0

    def observe(self, req: Request, got: Answered) -> None:
        """Record one finished request."""
        if not got.call_id:
            self.unnamed += 1
            return
        nothing = _Told([], req.cls.idempotent, 0, 0, 0)
        told = self._told.get(got.call_id, nothing)
        whole = got.verdict.end is End.WHOLE
        refused = got.verdict.end is End.REFUSED and got.verdict.outcome == NOT_RUN
        self._told[got.call_id] = told._replace(
            request_ids=[*told.request_ids, req.request_id],
            whole=told.whole + whole,
            not_run=told.not_run + refused,
            other=told.other + (not whole and not refused),
        )

    def broken(self, started: dict[str, int]) -> list[str]:
        """Return each contradiction between the received outcomes and what ran."""
        found = []
        for call_id, told in self._told.items():
            runs = started.get(call_id, 0)
            if told.not_run and not told.whole and not told.other and runs:
                found.append(f"{_name(told)} was refused as not run, and ran {runs} times")
            if not told.idempotent and runs > 1:
                found.append(f"{_name(told)} is not idempotent, and ran {runs} times")
            if told.whole and not runs:
                found.append(f"{_name(told)} was answered, and never ran")
        return found

    def named(self) -> int:
        """Return the number of calls that can be compared."""
        return len(self._told)


def only_once(started: dict[str, int]) -> list[str]:
    """Return each call that ran more than once at replicas with non-idempotent calls only.

    This includes calls whose caller received no response headers, which Ledger cannot check.
    """
    return [f"call {call_id} ran {times} times" for call_id, times in started.items() if times > 1]


def _name(told: _Told) -> str:
    return " / ".join(told.request_ids)
