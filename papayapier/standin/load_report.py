"""Report an engine's load with a lag."""

from collections import deque
from typing import NamedTuple


class LoadReport(NamedTuple):
    """Hold the response of GET /load; at_ms is a reading of the engine's monotonic clock."""

    running: int
    waiting: int
    slots: int
    kv_used: int
    kv_total: int
    step_ms: float
    at_ms: int


class LaggedReports:
    """Keep the reports of the last lag_ms and the one in effect before them."""

    __slots__ = ("_lag_ms", "_reports")

    def __init__(self, lag_ms: int, first: LoadReport) -> None:
        self._lag_ms = lag_ms
        self._reports = deque([first])

    def add(self, report: LoadReport) -> None:
        """Record the current load."""
        if self._reports[-1].at_ms == report.at_ms:
            self._reports.pop()
        self._reports.append(report)
        self._prune(report.at_ms)

    def get(self, now: int) -> LoadReport:
        """Return the load as of lag_ms ago."""
        self._prune(now)
        report = self._reports[0]
        return report._replace(at_ms=max(report.at_ms, now - self._lag_ms))

    def _prune(self, now: int) -> None:
        limit = now - self._lag_ms
        while len(self._reports) > 1 and self._reports[1].at_ms <= limit:
            self._reports.popleft()
