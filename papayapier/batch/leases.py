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


class Lease(Protocol):
    """Define the inputs and queries of the state machine."""

    def take(self) -> None:
        """Handle the start of a write of the lease."""

    def taken(self, version: int, lossy: bool) -> None:
        """Handle a successful write of the lease; lossy: the previous holder was lost."""

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

    ours and doubtful duplicate the state, because they are read for every item.
    """

    __slots__ = ("doubtful", "fence", "lossy", "ours", "shard", "version")

    def __init__(self, shard: int) -> None:
        self.shard = shard
        self.ours = False
        self.doubtful = False
        self.fence = 0
        self.version = 0
        self.lossy = False


_builder = TypeMachineBuilder(Lease, ShardLease)
_away = _builder.state("away")
_taking = _builder.state("taking")
_held = _builder.state("held")
_doubtful = _builder.state("doubtful")
_releasing = _builder.state("releasing")

_away.upon(Lease.take).to(_taking).returns(None)
_taking.upon(Lease.not_taken).to(_away).returns(None)
_held.upon(Lease.release).to(_releasing).returns(None)

for _state in (_away, _taking, _doubtful):
    _state.upon(Lease.lapse).loop().returns(False)
for _state in (_away, _taking, _doubtful, _releasing):
    _state.upon(Lease.release).loop().returns(None)
for _state in (_away, _taking, _held, _releasing):
    _state.upon(Lease.confirmed).loop().returns(None)
for _state in (_away, _taking, _held, _doubtful):
    _state.upon(Lease.released).loop().returns(False)
for _state in (_away, _held, _doubtful, _releasing):
    _state.upon(Lease.taken).loop().returns(None)
    _state.upon(Lease.not_taken).loop().returns(None)
for _state in (_taking, _held, _doubtful, _releasing):
    _state.upon(Lease.take).loop().returns(None)
_away.upon(Lease.lose).loop().returns(False)
_taking.upon(Lease.lose).to(_away).returns(False)
_away.upon(Lease.state).loop().returns("away")
_taking.upon(Lease.state).loop().returns("taking")
_held.upon(Lease.state).loop().returns("held")
_doubtful.upon(Lease.state).loop().returns("doubtful")
_releasing.upon(Lease.state).loop().returns("releasing")


@_taking.upon(Lease.taken).to(_held)
def _begin(_: Lease, hold: ShardLease, version: int, lossy: bool) -> None:
    hold.version = version
    hold.fence = version
    hold.lossy = lossy
    hold.ours = True
    events.emit(events.SHARD_TAKEN, shard=hold.shard, fence=version, lossy=lossy)


@_doubtful.upon(Lease.confirmed).to(_held)
def _go_on(_: Lease, hold: ShardLease, version: int) -> None:
    hold.version = version
    hold.ours = True
    hold.doubtful = False


@_held.upon(Lease.lapse).to(_doubtful)
def _doubt(_: Lease, hold: ShardLease) -> bool:
    hold.ours = False
    hold.doubtful = True
    return False


@_releasing.upon(Lease.released).to(_away)
def _end(_: Lease, hold: ShardLease) -> bool:
    hold.ours = False
    events.emit(events.SHARD_RELEASED, shard=hold.shard)
    return True


@_held.upon(Lease.lose).to(_away)
@_doubtful.upon(Lease.lose).to(_away)
@_releasing.upon(Lease.lose).to(_away)
@_releasing.upon(Lease.lapse).to(_away)
def _drop(_: Lease, hold: ShardLease) -> bool:
    hold.ours = False
    hold.doubtful = False
    events.emit(events.SHARD_LOST, shard=hold.shard)
    return True


make_lease: Final = _builder.build()
