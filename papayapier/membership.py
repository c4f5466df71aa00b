"""Start what follows, keeps and reports the instance list, also when the platform is away."""

import random
from typing import Final, NamedTuple

from result import Err, Ok, Result

from papayapier.clock import Clock
from papayapier.instance import Ports
from papayapier.peer.hub import PeerHub
from papayapier.peer.members import MembersDeps, MembersExchange
from papayapier.peer.messages import Heartbeat, MembersAsk, MembersTell
from papayapier.settings import Contact, Settings
from papayapier.store.api import ENTRY, LIVE, Member, Store
from papayapier.store.members import MemberFollower, MembersChanged, OnMembers, Reporter
from papayapier.store.members_folder import AgedMembers, MembersFolder

START_TRIES: Final = 5
START_PAUSE_MS: Final = 300


class MembershipDeps(NamedTuple):
    """Group what membership needs; reads and reports are views of the store."""

    clock: Clock
    rand: random.Random
    cfg: Settings
    hub: PeerHub
    reads: Store
    reports: Store
    on_members: OnMembers


class Membership(NamedTuple):
    """Group the parts that follow, keep and report the instance list."""

    follower: MemberFollower
    folder: MembersFolder
    reporter: Reporter


async def reach_platform(store: Store, clock: Clock, cfg: Settings) -> Result[None, str]:
    """Try the platform for a moment, unless something else can stand in for it.

    Without platform, contacts and data folder, an instance knows no profile, no peer and no
    upstream. Saying so at once is worth more than an instance that never becomes ready.
    """
    if cfg.config.data_folder or _others(cfg):
        return Ok(None)
    for attempt in range(START_TRIES):
        if isinstance(await store.members(0, 0), Ok):
            return Ok(None)
        if attempt + 1 < START_TRIES:
            await clock.sleep(START_PAUSE_MS)
    where = f"{cfg.platform.host}:{cfg.platform.port}"
    unset = "neither config.data_folder nor peer.contacts (naming another instance) is set"
    return Err(f"platform: {where} does not answer, and {unset}")


def make_membership(deps: MembershipDeps, ports: Ports) -> Membership:
    """Wire the follower with the folder, the contacts and the peers that stand in for it."""

    def on_members(change: MembersChanged) -> None:
        deps.on_members(change)
        folder.changed()

    def on_unread() -> None:
        fallback.use()

    def current() -> AgedMembers:
        return AgedMembers(list(follower.known.values()), follower.age_ms() or 0)

    follower = MemberFollower(deps.reads, deps.clock, deps.rand, on_members, on_unread)
    folder = MembersFolder(deps.cfg.config.data_folder, deps.clock, current)
    fallback = _Fallback(deps, follower, folder)
    exchange = MembersExchange(MembersDeps(deps.clock, deps.rand, deps.hub.tell, follower))
    for kind in (Heartbeat, MembersAsk, MembersTell):
        deps.hub.subscribe(kind, exchange.on_peer)
    reporter = Reporter(deps.reports, deps.clock, deps.rand, _own_record(deps.cfg, ports))
    return Membership(follower, folder, reporter)


class _Fallback:
    """Use the folder's list and the contacts once, when the first reading fails."""

    def __init__(
        self, deps: MembershipDeps, follower: MemberFollower, folder: MembersFolder
    ) -> None:
        self._deps = deps
        self._follower = follower
        self._folder = folder
        self._used = False

    def use(self) -> None:
        """Take over the folder's list, and dial the contacts."""
        if self._used:
            return
        self._used = True
        saved = self._folder.load()
        if saved is not None:
            self._follower.learn(saved.members, self._deps.clock.now() - saved.age_ms)
        # After the folder's list: where both name an instance, the operators' address holds.
        self._deps.hub.introduce([_contact(one) for one in _others(self._deps.cfg)])


def _others(cfg: Settings) -> list[Contact]:
    """Return the contacts without this instance, so that all can have the same settings."""
    return [contact for contact in cfg.peer.contacts if contact.id != cfg.instance.id]


def _contact(contact: Contact) -> Member:
    return Member(
        id=contact.id,
        kind=ENTRY,
        upstream="",
        host=contact.host,
        port=0,
        peer_port=contact.peer_port,
        data_centre=contact.data_centre,
        region=contact.region,
        state=LIVE,
    )


def _own_record(cfg: Settings, ports: Ports) -> Member:
    own = cfg.instance
    return Member(
        id=own.id,
        kind=ENTRY,
        upstream="",
        host=own.host,
        port=ports.entry,
        peer_port=ports.peer,
        data_centre=own.data_centre,
        region=own.region,
        state=LIVE,
    )
