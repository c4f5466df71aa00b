"""Define the messages between the system's own instances.

On the wire a message is a msgpack array: the number of its kind, the sender, then the array
of its fields (see wire). Numbers are never reused, and fields are only added at the end with
a default, so that two releases can run side by side during an upgrade.
"""

from typing import Final, NamedTuple

from papayapier.peer.loss_messages import LatelyAsk, LossesAsk, LossesTold, NoLosses
from papayapier.peer.permit_messages import (
    PermitReply,
    PermitRequest,
    SuspectEnded,
    SuspectUnderWay,
)
from papayapier.peer.placement_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.peer.run_messages import RunsAsk, RunsOffer, RunsTell
from papayapier.peer.version_messages import StreamsBegun, VersionAsk, VersionTell
from papayapier.policy.loads import ReplicaUse
from papayapier.store.api import Member


class JobNotification(NamedTuple):
    """Notify how many groups of results a job has; number counts the sender's notifications."""

    number: int
    job_id: str
    groups: int


class Heartbeat(NamedTuple):
    """Report that the sender is live, its configuration and its open calls.

    boot is a random number drawn at process start; it distinguishes a restarted instance from a
    paused one. config_digest detects what config_version cannot: a missing object whose version is
    below the highest. unreachable lists the peers whose heartbeats do not arrive at the sender.
    interval_ms is the sender's current heartbeat interval; the receiver's silence limit depends on
    it. totals is sent by hubs: the open calls of all instances at each replica reported.
    notification_count counts the numbered notifications of this boot, or is UNCONFIRMED;
    notifications holds the most recent of them, where no separate JobChanged carries them.
    unavailable is sent by hubs: the instances that may be hubs and are silent or leaving, for
    instances that are not their neighbours. picked is true if the sender's own plan includes the
    receiver, and false if the sender only reciprocates a link that the receiver's plan wants.
    """

    instance: str
    boot: int
    state: str
    config_version: int
    uses: tuple[ReplicaUse, ...] = ()
    config_digest: int = 0
    unreachable: tuple[str, ...] = ()
    interval_ms: int = 0
    totals: tuple[ReplicaUse, ...] = ()
    notification_count: int = -1
    notifications: tuple[JobNotification, ...] = ()
    unavailable: tuple[str, ...] = ()
    picked: bool = True


# In place of a count of notifications: it is uncertain whether a write took effect.
UNCONFIRMED: Final = -1


class Hello(NamedTuple):
    """Introduce the sender on a new connection, so that the receiver can dial it.

    picked has the same meaning as in Heartbeat; hub says whether the sender may be a hub.
    """

    instance: str
    boot: int
    host: str
    peer_port: int
    data_centre: str
    region: str
    picked: bool = True
    hub: bool = False


class ConfigPush(NamedTuple):
    """Carry one accepted configuration object; version is the store's."""

    key: str
    version: int
    value: bytes


class ConfigAsk(NamedTuple):
    """Request configuration objects: those in buckets that differ, or all newer ones.

    buckets holds the requester's digest of each bucket of keys; if empty, newer_than applies.
    """

    correlation_id: int
    newer_than: int
    buckets: tuple[int, ...] = ()


class ConfigTell(NamedTuple):
    """Answer ConfigAsk, split into several parts if it is long.

    complete says whether the sender itself has ever had the complete configuration; total is
    the number of objects in all parts.
    """

    correlation_id: int
    objects: list[ConfigPush]
    more: bool = False
    complete: bool = False
    total: int = 0


class ClaimAsk(NamedTuple):
    """Request the state of a claim from the instance that wrote it."""

    correlation_id: int
    key: str


class ClaimTell(NamedTuple):
    """Answer ClaimAsk; state is "running", "done", "abandoned" or "no_record"."""

    correlation_id: int
    key: str
    state: str


class ShardsReleased(NamedTuple):
    """Notify peers that leases were released, so that they need not wait for expiry."""

    shards: list[int]


class LoadReports(NamedTuple):
    """Share load reports, so that one instance per data centre polls each replica.

    Each report is (replica, running, waiting, slots, step time in ms, age in ms).
    """

    reports: list[tuple[str, int, int, int, float, int]]


class JobChanged(NamedTuple):
    """Notify peers to read a job's record again: it is new, cancelled or done.

    number counts the notifications that the sender itself sends to all instances; one with
    number 0 is forwarded from peer to peer.
    """

    job_id: str
    version: int
    number: int = 0


class Prune(NamedTuple):
    """Notify a peer that its copies of changes arrive later than those of others."""


class MembersAsk(NamedTuple):
    """Request an instance list newer than the requester's; age_ms is -1 if it has none."""

    correlation_id: int
    age_ms: int
    digest: int


class MembersTell(NamedTuple):
    """Answer MembersAsk, split into several parts if it is long; total counts all members.

    age_ms is the time since any instance read this list from the platform.
    """

    correlation_id: int
    members: list[Member]
    total: int
    age_ms: int


class StoreAsk(NamedTuple):
    """Request that a peer make one call to the platform's store; call names it.

    For a listing, key is the prefix and after the key to continue from. For a watch, version
    is the revision and wait_ms the time to wait for changes.
    """

    correlation_id: int
    call: str
    key: str
    value: bytes = b""
    version: int = 0
    after: str = ""
    wait_ms: int = 0


class MirrorAsk(NamedTuple):
    """Request what a peer has read of a prefix itself; the reply is a StoreTell.

    since is FULL_LISTING for a listing, otherwise the revision after which changes are wanted.
    """

    correlation_id: int
    prefix: str
    since: int
    wait_ms: int = 0


FULL_LISTING: Final = -1


class CallsTold(NamedTuple):
    """Report all open calls of the sender to an instance that gets no heartbeats from it."""

    uses: tuple[ReplicaUse, ...]


class StoreChange(NamedTuple):
    """Hold one object or change of a StoreTell."""

    key: str
    version: int
    deleted: bool
    value: bytes


class StoreTell(NamedTuple):
    """Answer StoreAsk or MirrorAsk.

    error is empty on success, else the name of the store's error. recovered_ms_ago is the
    time since the store became reachable again for the sender, or NO_OUTAGE.
    """

    correlation_id: int
    error: str
    version: int = 0
    value: bytes = b""
    changes: tuple[StoreChange, ...] = ()
    more: bool = False
    recovered_ms_ago: int = -1
    # The compressed changes of a long answer; changes is empty then.
    compressed_changes: bytes = b""


NO_OUTAGE: Final = -1


class ResultsAsk(NamedTuple):
    """Request a job's results after a position; the keeper waits if there are none yet."""

    correlation_id: int
    job_id: str
    after: int
    wait_ms: int
    team: str = ""


class ResultItem(NamedTuple):
    """Hold one result of a ResultsTell."""

    id: str
    outcome: str
    text: str


class ResultsTell(NamedTuple):
    """Answer ResultsAsk; job_known says whether the sender could read the job."""

    correlation_id: int
    job_known: bool
    total: int = 0
    results: tuple[ResultItem, ...] = ()


class AllowAsk(NamedTuple):
    """Request a grant for one request of a team from the team's granter.

    rate_per_s and burst are the team's allowance as the requester knows it; is_retry says
    that the request was refused before and is a retry.
    """

    correlation_id: int
    team: str
    rate_per_s: float
    burst: float
    is_retry: bool = False


class AllowTell(NamedTuple):
    """Answer AllowAsk; outcome names a value of policy.allowances.GrantOutcome.

    retry_after_ms is the time after which to retry. granter names the granter if it is not the
    sender.
    """

    correlation_id: int
    outcome: str
    retry_after_ms: int = 0
    granter: str = ""


class TakeOverAsk(NamedTuple):
    """Request what is left of a team's allowance; the requester is the granter from now on."""

    correlation_id: int
    team: str
    rate_per_s: float
    burst: float


class TakeOverTell(NamedTuple):
    """Answer TakeOverAsk; was_granter says whether the sender was the granter until now."""

    correlation_id: int
    was_granter: bool
    tokens: float


class KeepAsk(NamedTuple):
    """Request that a keeper store a job on its disk until the store has it.

    value is the job's record.
    """

    correlation_id: int
    job_id: str
    value: bytes


class KeepTell(NamedTuple):
    """Answer KeepAsk; stored says whether the job is written to disk and synced."""

    correlation_id: int
    stored: bool


Message = (
    Heartbeat
    | ConfigPush
    | ConfigAsk
    | ConfigTell
    | ClaimAsk
    | ClaimTell
    | ShardsReleased
    | LoadReports
    | JobChanged
    | Hello
    | Prune
    | MembersAsk
    | MembersTell
    | StoreAsk
    | StoreTell
    | MirrorAsk
    | PlaceAsk
    | PlaceTell
    | PlaceLeft
    | Unanswered
    | KeepAsk
    | KeepTell
    | CallsTold
    | ResultsAsk
    | ResultsTell
    | LossesTold
    | LatelyAsk
    | LossesAsk
    | NoLosses
    | RunsAsk
    | RunsTell
    | RunsOffer
    | AllowAsk
    | AllowTell
    | TakeOverAsk
    | TakeOverTell
    | PermitRequest
    | PermitReply
    | SuspectUnderWay
    | SuspectEnded
    | StreamsBegun
    | VersionAsk
    | VersionTell
)
