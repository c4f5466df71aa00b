"""Define the messages between the system's own instances.

On the wire a message is a msgpack array: the kind's number, the sender, then the array of
its fields (see wire). Numbers are never reused, and fields are only added at the end with a
default, so that two releases can run side by side during an upgrade.
"""

from typing import Final, NamedTuple

from papayapier.peer.loss_messages import LatelyAsk, LossesAsk, LossesTold, NoLosses
from papayapier.peer.placing_messages import PlaceAsk, PlaceLeft, PlaceTell, Unanswered
from papayapier.peer.run_messages import RunsAsk, RunsOffer, RunsTell
from papayapier.policy.loads import ReplicaUse
from papayapier.store.api import Member


class JobWord(NamedTuple):
    """Tell that a job has so many groups of results; number counts the sender's words."""

    number: int
    job_id: str
    groups: int


class Heartbeat(NamedTuple):
    """Tell that the sender lives, what it applies and what it has open.

    boot is drawn at process start, so that a restarted instance is told from a paused one.
    config_digest shows what config_version cannot: an object missing below the highest.
    unheard names the peers whose own heartbeats do not arrive at the sender. every_ms is the
    sender's present pace, by which the receiver judges its silence. totals holds what all
    instances together have open at the replicas of which a hub tells. groups_told counts the
    numbered words of this boot, or is NOT_SURE; words are the last ones, where no JobChanged of
    their own carries them. gone names the instances that may be hubs and that a hub does not
    hear, or knows to leave: who is no neighbour of theirs hears it from the hubs. picked tells
    whether the sender picks the receiver by itself, or only answers its pick.
    """

    instance: str
    boot: int
    state: str
    config_version: int
    uses: tuple[ReplicaUse, ...] = ()
    config_digest: int = 0
    unheard: tuple[str, ...] = ()
    every_ms: int = 0
    totals: tuple[ReplicaUse, ...] = ()
    groups_told: int = -1
    words: tuple[JobWord, ...] = ()
    gone: tuple[str, ...] = ()
    picked: bool = True


# In place of a count of words: a write may have taken effect or not.
NOT_SURE: Final = -1


class Hello(NamedTuple):
    """Introduce the sender on a new connection, so that the receiver can dial it.

    picked tells whether the sender picks the receiver by itself, or only answers its pick; hub
    whether it may be a hub.
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
    """Ask for configuration objects: those in differing buckets, or all newer ones.

    buckets holds the asker's digest of each bucket of keys; when empty, newer_than decides.
    """

    ask_id: int
    newer_than: int
    buckets: tuple[int, ...] = ()


class ConfigTell(NamedTuple):
    """Answer ConfigAsk, in several parts where it is long.

    complete tells whether the sender itself has ever had the whole configuration, total how
    many objects all parts hold.
    """

    ask_id: int
    objects: list[ConfigPush]
    more: bool = False
    complete: bool = False
    total: int = 0


class ClaimAsk(NamedTuple):
    """Ask the writer of a claim what has become of it."""

    ask_id: int
    key: str


class ClaimTell(NamedTuple):
    """Answer ClaimAsk; state is "running", "done", "abandoned" or "no_record"."""

    ask_id: int
    key: str
    state: str


class ShardsReleased(NamedTuple):
    """Tell peers that leases were given back, so that they need not wait for expiry."""

    shards: list[int]


class LoadReports(NamedTuple):
    """Share load reports, so that one instance per data centre polls each replica.

    Each report is (replica, running, waiting, slots, step time in ms, age in ms).
    """

    reports: list[tuple[str, int, int, int, float, int]]


class JobChanged(NamedTuple):
    """Tell peers to read a job's record again: it is new, cancelled or done.

    number counts those that the sender tells all by itself; 0 is passed on from peer to peer.
    """

    job_id: str
    version: int
    number: int = 0


class Prune(NamedTuple):
    """Tell a peer that its copies of changes come later than those of others."""


class MembersAsk(NamedTuple):
    """Ask for an instance list that was read later than the asker's; age -1 is none."""

    ask_id: int
    age_ms: int
    digest: int


class MembersTell(NamedTuple):
    """Answer MembersAsk, in several parts where it is long; total counts all parts' members.

    age_ms tells how long ago the list was read from the platform, by whomever it was.
    """

    ask_id: int
    members: list[Member]
    total: int
    age_ms: int


class StoreAsk(NamedTuple):
    """Ask a peer to make one call to the platform's store; call names it.

    For a listing key is the prefix and after the place, for a watch version is the revision
    and wait_ms how long to wait.
    """

    ask_id: int
    call: str
    key: str
    value: bytes = b""
    version: int = 0
    after: str = ""
    wait_ms: int = 0


class MirrorAsk(NamedTuple):
    """Ask a peer for what it has read of a prefix itself; StoreTell answers.

    since WHOLE asks for a listing, any other for the changes after that revision.
    """

    ask_id: int
    prefix: str
    since: int
    wait_ms: int = 0


WHOLE: Final = -1


class CallsTold(NamedTuple):
    """Tell all open calls of the sender to an instance with which it exchanges no heartbeats."""

    uses: tuple[ReplicaUse, ...]


class StoreChange(NamedTuple):
    """Hold one object or change of a StoreTell."""

    key: str
    version: int
    deleted: bool
    value: bytes


class StoreTell(NamedTuple):
    """Answer StoreAsk or MirrorAsk.

    error is empty for success, else the name of the store's error. back_ms_ago tells how long
    ago the store was last away for the sender; NEVER_AWAY where it was not.
    """

    ask_id: int
    error: str
    version: int = 0
    value: bytes = b""
    changes: tuple[StoreChange, ...] = ()
    more: bool = False
    back_ms_ago: int = -1
    # The changes of a long answer, compressed, in place of changes.
    packed: bytes = b""


NEVER_AWAY: Final = -1


class ResultsAsk(NamedTuple):
    """Ask a keeper for a job's results from a position on; it waits for one if there is none."""

    ask_id: int
    job_id: str
    after: int
    wait_ms: int
    team: str = ""


class ResultTold(NamedTuple):
    """Hold one result of a ResultsTell."""

    id: str
    end: str
    text: str


class ResultsTell(NamedTuple):
    """Answer ResultsAsk; known says that the sender could read the job."""

    ask_id: int
    known: bool
    total: int = 0
    results: tuple[ResultTold, ...] = ()


class AllowAsk(NamedTuple):
    """Ask whether one request of a team lies within its allowance, as the asker knows that.

    returned says that it was refused before.
    """

    ask_id: int
    team: str
    rate_per_s: float
    burst: float
    returned: bool = False


class AllowTell(NamedTuple):
    """Answer AllowAsk; said names one of policy.allowances.Said, after_ms when to come again.

    ask names who grants, where the sender does not.
    """

    ask_id: int
    said: str
    after_ms: int = 0
    ask: str = ""


class TakeOverAsk(NamedTuple):
    """Ask for what is left of a team's allowance; the asker grants from now on."""

    ask_id: int
    team: str
    rate_per_s: float
    burst: float


class TakeOverTell(NamedTuple):
    """Answer TakeOverAsk; was_first says that the sender has granted until now."""

    ask_id: int
    was_first: bool
    tokens: float


class KeepAsk(NamedTuple):
    """Ask a keeper to hold a job on its disk until it is in the store; value is its record."""

    ask_id: int
    job_id: str
    value: bytes


class KeepTell(NamedTuple):
    """Answer KeepAsk; kept says that the job is on the disk, synced."""

    ask_id: int
    kept: bool


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
)
