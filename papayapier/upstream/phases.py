"""Define the phases of an exchange: the time limit of each and the meaning of its failure.

Until the request is written to a connection, nothing can have reached the replica. From then
on, all of it may have. The phases make this boundary explicit.
"""

from typing import NamedTuple, Protocol

from automat import TypeMachineBuilder

from papayapier.settings import UpstreamSettings
from papayapier.upstream.api import FailureKind


class Fault(NamedTuple):
    """Explain why the received data is not a valid answer.

    The reason may reach the caller; what is quoted of the answer is for logs only.
    """

    kind: FailureKind
    reason: str
    status: int = 0
    quoted: str = ""

    def log_text(self) -> str:
        """Return the text for logs."""
        return f"{self.reason}: {self.quoted}" if self.quoted else self.reason


class Phases(Protocol):
    """Declare the inputs and queries of the state machine of an exchange."""

    def request_written(self) -> None:
        """Enter the phase after the request was written."""

    def body_started(self) -> None:
        """Enter the phase after the first byte of the answer's body."""

    def progressed(self) -> None:
        """Enter the phase after the first part of the body that its reader can use."""

    def finish(self) -> None:
        """Enter the final state."""

    def limit_ms(self) -> int:
        """Return how long the phase may last without progress."""

    def timeout_fault(self) -> Fault:
        """Return the fault for a phase that exceeded its limit."""

    def connection_lost_fault(self, reason: str) -> Fault:
        """Return the fault for a connection that was lost in this phase."""


_builder = TypeMachineBuilder(Phases, UpstreamSettings)
_connecting = _builder.state("connecting")
_waiting = _builder.state("waiting")
_beginning = _builder.state("beginning")
_receiving = _builder.state("receiving")
_ended = _builder.state("ended")

_connecting.upon(Phases.request_written).to(_waiting).returns(None)
_waiting.upon(Phases.body_started).to(_beginning).returns(None)
_beginning.upon(Phases.progressed).to(_receiving).returns(None)
for _state in (_connecting, _waiting, _beginning, _receiving):
    _state.upon(Phases.finish).to(_ended).returns(None)

_connecting.upon(Phases.timeout_fault).loop().returns(
    Fault(FailureKind.CONNECT, "connecting timed out")
)
_waiting.upon(Phases.timeout_fault).loop().returns(
    Fault(FailureKind.TIMED_OUT, "timed out waiting for the answer's body")
)
for _state in (_beginning, _receiving):
    _state.upon(Phases.timeout_fault).loop().returns(
        Fault(FailureKind.TIMED_OUT, "timed out waiting for more of the answer's body")
    )


@_connecting.upon(Phases.limit_ms).loop()
def _connect_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return cfg.connect_timeout_ms


@_waiting.upon(Phases.limit_ms).loop()
def _first_byte_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return cfg.first_byte_ms


@_beginning.upon(Phases.limit_ms).loop()
def _first_part_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return min(cfg.first_byte_ms, cfg.progress_ms)


@_receiving.upon(Phases.limit_ms).loop()
def _progress_limit(_: Phases, cfg: UpstreamSettings) -> int:
    return cfg.progress_ms


@_connecting.upon(Phases.connection_lost_fault).loop()
def _connect_lost(_: Phases, __: UpstreamSettings, reason: str) -> Fault:
    return Fault(FailureKind.CONNECT, f"cannot connect: {reason}")


@_waiting.upon(Phases.connection_lost_fault).loop()
def _answer_lost(_: Phases, __: UpstreamSettings, reason: str) -> Fault:
    return Fault(FailureKind.TRUNCATED, f"connection lost before the answer's body: {reason}")


@_beginning.upon(Phases.connection_lost_fault).loop()
@_receiving.upon(Phases.connection_lost_fault).loop()
def _progress_lost(_: Phases, __: UpstreamSettings, reason: str) -> Fault:
    return Fault(FailureKind.TRUNCATED, f"answer truncated: {reason}")


make_phases = _builder.build()
