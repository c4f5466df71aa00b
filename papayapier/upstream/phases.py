"""Say, for each phase of an exchange, how long it may take and what its failure means.

Before the request is taken to a connection nothing can have reached the replica. After it,
everything may have. The phases make that line explicit.
"""

from typing import NamedTuple, Protocol

from automat import TypeMachineBuilder

from papayapier.settings import UpstreamSettings
from papayapier.upstream.api import FailureKind


class Fault(NamedTuple):
    """Say why what was received is not an answer."""

    kind: FailureKind
    reason: str
    status: int = 0


class Phases(Protocol):
    """Describe what happens to an exchange and what is asked about it."""

    def taken(self) -> None:
        """Note that the request is about to be written."""

    def started(self) -> None:
        """Note that the body of the answer has begun."""

    def end(self) -> None:
        """Note that nothing more counts."""

    def limit_ms(self) -> int:
        """Return how long the phase may go without a byte."""

    def overdue(self) -> Fault:
        """Return what it means that the limit has passed."""

    def lost(self, why: str) -> Fault:
        """Return what it means that the connection is lost."""


_builder = TypeMachineBuilder(Phases, UpstreamSettings)
_connecting = _builder.state("connecting")
_waiting = _builder.state("waiting")
_receiving = _builder.state("receiving")
_ended = _builder.state("ended")

_connecting.upon(Phases.taken).to(_waiting).returns(None)
_waiting.upon(Phases.started).to(_receiving).returns(None)
for _state in (_connecting, _waiting, _receiving):
    _state.upon(Phases.end).to(_ended).returns(None)

_connecting.upon(Phases.overdue).loop().returns(
    Fault(FailureKind.CONNECT, "connecting took too long")
)
_waiting.upon(Phases.overdue).loop().returns(
    Fault(FailureKind.SILENT, "no byte of the answer's body came")
)
_receiving.upon(Phases.overdue).loop().returns(
    Fault(FailureKind.SILENT, "the answer stopped coming")
)


@_connecting.upon(Phases.limit_ms).loop()
def _connect_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return cfg.connect_timeout_ms


@_waiting.upon(Phases.limit_ms).loop()
def _first_byte_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return cfg.first_byte_ms


@_receiving.upon(Phases.limit_ms).loop()
def _progress_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return cfg.progress_ms


@_connecting.upon(Phases.lost).loop()
def _connect_lost(_: Phases, __: UpstreamSettings, why: str) -> Fault:
    return Fault(FailureKind.CONNECT, f"cannot connect: {why}")


@_waiting.upon(Phases.lost).loop()
def _answer_lost(_: Phases, __: UpstreamSettings, why: str) -> Fault:
    return Fault(FailureKind.CUT, f"connection lost before the answer's body: {why}")


@_receiving.upon(Phases.lost).loop()
def _progress_lost(_: Phases, __: UpstreamSettings, why: str) -> Fault:
    return Fault(FailureKind.CUT, f"answer cut short: {why}")


make_phases = _builder.build()
