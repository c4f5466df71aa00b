"""Define the state machine of one shard's lease, as its holder or would-be holder sees it.

* away: not held by this instance.
* taking: the conditional write of the lease is in progress.
* held: this instance runs the shard's tasks.
* doubtful: the session has lapsed by the local clock, and another instance may take the shard
  at any moment; nothing is committed until a new conditional write confirms the lease.
* releasing: the shard's tasks are being handed over.

A lease that is lost, for whatever reason, enters the state away; the inputs that can cause
this return whether there were tasks, which the caller then has to drop.
"""

from typing import Final, Protocol

from automat import TypeMachineBuilder

from papayapier import events


class LeaseMachine(Protocol):
    """Define the inputs and queries of the state machine."""

    def take(self) -> None:
        """Handle the start of a write of the lease."""

    def taken(self, version: int, holder_lost: bool) -> None:
        """Handle a successful write of the lease; holder_lost: the previous holder was lost."""

    def not_taken(self) -> None:
        """Handle a failed write of the lease."""

    def lapse(self) -> bool:
        """Handle the lapse of the session by the local clock; return whether to drop the tasks."""

    def confirmed(self, version: int) -> None:
        """Handle a successful new write of the lease after a lapse."""

    def lose(self) -> bool:
        """Handle the loss of the lease to another instance; return whether to drop the tasks."""

    def release(self) -> None:
        """Handle the start of a hand-over."""

    def released(self) -> bool:
        """Handle the end of a hand-over; return whether to drop the remaining tasks."""

    def state(self) -> str:
        """Return the name of the state."""


class ShardLease:
    """Hold the data of one shard's lease while this instance has it.

    is_held and unconfirmed duplicate the state, because they are read for every item.
    """

    __slots__ = ("fence", "holder_lost", "is_held", "shard", "unconfirmed", "version")

    def __init__(self, shard: int) -> None:
        self.shard = shard
        self.is_held = False
        self.unconfirmed = False
        self.fence = 0
        self.version = 0
        self.holder_lost = False


_builder = TypeMachineBuilder(LeaseMachine, ShardLease)
_away = _builder.state("away")
_taking = _builder.state("taking")
_held = _builder.state("held")
_doubtful = _builder.state("doubtful")
_releasing = _builder.state("releasing")

_away.upon(LeaseMachine.take).to(_taking).returns(None)
_taking.upon(LeaseMachine.not_taken).to(_away).returns(None)
_held.upon(LeaseMachine.release).to(_releasing).returns(None)

for _state in (_away, _taking, _doubtful):
    _state.upon(LeaseMachine.lapse).loop().returns(False)
for _state in (_away, _taking, _doubtful, _releasing):
    _state.upon(LeaseMachine.release).loop().returns(None)
for _state in (_away, _taking, _held, _releasing):
    _state.upon(LeaseMachine.confirmed).loop().returns(None)
for _state in (_away, _taking, _held, _doubtful):
    _state.upon(LeaseMachine.released).loop().returns(False)
for _state in (_away, _held, _doubtful, _releasing):
    _state.upon(LeaseMachine.taken).loop().returns(None)
    _state.upon(LeaseMachine.not_taken).loop().returns(None)
for _state in (_taking, _held, _doubtful, _releasing):
    _state.upon(LeaseMachine.take).loop().returns(None)
_away.upon(LeaseMachine.lose).loop().returns(False)
_taking.upon(LeaseMachine.lose).to(_away).returns(False)
_away.upon(LeaseMachine.state).loop().returns("away")
_taking.upon(LeaseMachine.state).loop().returns("taking")
_held.upon(LeaseMachine.state).loop().returns("held")
_doubtful.upon(LeaseMachine.state).loop().returns("doubtful")
_releasing.upon(LeaseMachine.state).loop().returns("releasing")


@_taking.upon(LeaseMachine.taken).to(_held)
def _on_taken(_: LeaseMachine, shard_lease: ShardLease, version: int, holder_lost: bool) -> None:
    shard_lease.version = version
    shard_lease.fence = version
    shard_lease.holder_lost = holder_lost
    shard_lease.is_held = True
    events.emit(events.SHARD_TAKEN, shard=shard_lease.shard, fence=version, lossy=holder_lost)


@_doubtful.upon(LeaseMachine.confirmed).to(_held)
def _on_confirmed(_: LeaseMachine, shard_lease: ShardLease, version: int) -> None:
    shard_lease.version = version
    shard_lease.is_held = True
    shard_lease.unconfirmed = False


@_held.upon(LeaseMachine.lapse).to(_doubtful)
def _on_lapsed(_: LeaseMachine, shard_lease: ShardLease) -> bool:
    shard_lease.is_held = False
    shard_lease.unconfirmed = True
    return False


@_releasing.upon(LeaseMachine.released).to(_away)
def _on_released(_: LeaseMachine, shard_lease: ShardLease) -> bool:
    shard_lease.is_held = False
    events.emit(events.SHARD_RELEASED, shard=shard_lease.shard)
    return True


@_held.upon(LeaseMachine.lose).to(_away)
@_doubtful.upon(LeaseMachine.lose).to(_away)
@_releasing.upon(LeaseMachine.lose).to(_away)
@_releasing.upon(LeaseMachine.lapse).to(_away)
def _on_lost(_: LeaseMachine, shard_lease: ShardLease) -> bool:
    shard_lease.is_held = False
    shard_lease.unconfirmed = False
    events.emit(events.SHARD_LOST, shard=shard_lease.shard)
    return True


make_lease_machine: Final = _builder.build()
