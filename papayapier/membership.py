"""Follow, save and report the instance list, also while the platform is unreachable."""

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
from papayapier.store.members import MemberFollower, MemberReporter, MembersChanged, OnMembers
from papayapier.store.members_file import AgedMembers, MembersFile

MAX_START_ATTEMPTS: Final = 5
START_RETRY_PAUSE_MS: Final = 300


class MembershipDeps(NamedTuple):
    """Group the dependencies; reads and reports are views of the store with a priority each."""

    clock: Clock
    rand: random.Random
    cfg: Settings
    hub: PeerHub
    reads: Store
    reports: Store
    on_members: OnMembers


class Membership(NamedTuple):
    """Group the components that follow, save and report the instance list."""

    follower: MemberFollower
    file: MembersFile
    reporter: MemberReporter


async def reach_platform(store: Store, clock: Clock, cfg: Settings) -> Result[None, str]:
    """Try to reach the platform a few times, unless a data folder or contacts replace it.

    Without platform, contacts and data folder, an instance knows no profile, no peer and no
    upstream. A start that fails at once is better than an instance that never becomes ready.
    """
    if cfg.config.data_folder or _other_contacts(cfg):
        return Ok(None)
    for attempt in range(MAX_START_ATTEMPTS):
        if isinstance(await store.members(0, 0), Ok):
            return Ok(None)
        if attempt + 1 < MAX_START_ATTEMPTS:
            await clock.sleep(START_RETRY_PAUSE_MS)
    where = f"{cfg.platform.host}:{cfg.platform.port}"
    unset = "neither config.data_folder nor peer.contacts (naming another instance) is set"
    return Err(f"platform: {where} does not answer, and {unset}")


def make_membership(deps: MembershipDeps, ports: Ports) -> Membership:
    """Wire the follower with the saved list, contacts and peers that replace the platform."""

    def on_members(change: MembersChanged) -> None:
        deps.on_members(change)
        members_file.save_soon()

    def on_read_failed() -> None:
        fallback.use()

    def current_list() -> AgedMembers:
        return AgedMembers(list(follower.known.values()), follower.age_ms() or 0)

    follower = MemberFollower(deps.reads, deps.clock, deps.rand, on_members, on_read_failed)
    members_file = MembersFile(deps.cfg.config.data_folder, deps.clock, current_list)
    fallback = _Fallback(deps, follower, members_file)
    exchange = MembersExchange(MembersDeps(deps.clock, deps.rand, deps.hub.send, follower))
    for kind in (Heartbeat, MembersAsk, MembersTell):
        deps.hub.subscribe(kind, exchange.on_peer)
    reporter = MemberReporter(deps.reports, deps.clock, deps.rand, _own_record(deps.cfg, ports))
    return Membership(follower, members_file, reporter)


class _Fallback:
    """Use the saved list and the contacts once, when the first read of the platform fails."""

    def __init__(
        self, deps: MembershipDeps, follower: MemberFollower, members_file: MembersFile
    ) -> None:
        self._deps = deps
        self._follower = follower
        self._members_file = members_file
        self._used = False

    def use(self) -> None:
        """Use the saved list, and dial the contacts."""
        if self._used:
            return
        self._used = True
        saved = self._members_file.load()
        if saved is not None:
            self._follower.use_list(saved.members, self._deps.clock.now() - saved.age_ms)
        # After the saved list, so that the address in the settings wins if both have one.
        self._deps.hub.dial_unlisted([_as_member(c) for c in _other_contacts(self._deps.cfg)])


def _other_contacts(cfg: Settings) -> list[Contact]:
    """Return the contacts without this instance, so that all can have the same settings."""
    return [contact for contact in cfg.peer.contacts if contact.id != cfg.instance.id]


def _as_member(contact: Contact) -> Member:
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
