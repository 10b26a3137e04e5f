"""Which VM lends the credit of a workspace, and whether it may."""

from __future__ import annotations

import attrs

from bronzetrack.core import rendezvous
from bronzetrack.entry.peering import peers

# A VM lends only while it has heard a majority of the VMs within this time.
# It is shorter than `peers.ALIVE_TIMEOUT_S`, so that a VM that is cut off
# stops lending before the others choose another owner.
MAJORITY_AGE_S = 1.3
# A VM that was heard counts for this time after it fell silent. Without a
# majority it counts for ever, since a VM that is cut off would otherwise take
# itself for the whole fleet.
FORGET_S = 20.0
# A VM that stops lends for this time after the signal, until the other VMs
# have learned of it through hubs. They learn of it within 0.3 s and the time
# of two datagrams. If it went on, the next owner would lend beside it.
STOPPING_LEND_S = 0.5
# The view is computed again after this time. The owner of a workspace that
# half of all requests are for answers more than a hundred times a second.
VIEW_TTL_S = 0.02


@attrs.frozen(eq=False)
class View:
    """Which VMs this VM hears.

    :param candidates: VMs that may lend, sorted by name
    """

    taken_at: float
    candidates: tuple[str, ...]
    has_majority: bool


@attrs.define(eq=False)
class Fleet:
    """The VMs among which a quota is divided.

    :param vm: name of this VM
    :param heard: VMs that were heard and are not yet forgotten
    :param stopping_since: time of the signal to stop, `None` before it
    """

    vm: str
    peer_table: peers.PeerTable
    heard: set[str] = attrs.field(factory=set)
    stopping_since: float | None = None
    _view: View | None = None

    def update(self, now: float) -> None:
        """Record the VMs that are heard and forget those long silent."""
        self.heard |= {peer.vm for peer in self.peer_table.list_alive(now)}
        if self.has_majority(now):
            recent = self._list_recent(now, FORGET_S)
            self.heard.intersection_update(recent)

    def list_known(self, now: float) -> set[str]:
        """Return the VMs that may be running, including this one."""
        announced = {
            peer.vm
            for peer in self.peer_table.peers.values()
            if peer.needs_heartbeats(now)
        }
        return {self.vm, *announced, *self.heard}

    def has_majority(self, now: float) -> bool:
        """Return whether this VM hears a majority of the known VMs.

        Of two halves, the one with the first VM by name is the majority. A VM
        that was never heard is no half: the others of its part may be unknown.
        """
        known = self.list_known(now)
        recent = self._list_recent(now, MAJORITY_AGE_S)
        if self.peer_table.peers and not recent:
            was_heard = known == {self.vm, *self.heard}
            return was_heard and min(known) == self.vm and len(known) == 2
        heard = {self.vm, *recent}
        if 2 * len(heard) == len(known):
            return min(known) in heard
        return 2 * len(heard) > len(known)

    def find_owner(self, workspace: str, now: float) -> str:
        """Return the VM that lends the credit of a workspace."""
        view = self._take_view(now)
        return rendezvous.rank_nodes(workspace, view.candidates)[0]

    def may_lend(self, workspace: str, now: float) -> bool:
        """Return whether this VM lends the credit of a workspace.

        A VM that does not know of the others would take itself for the only
        one.
        """
        return (
            self.peer_table.is_listed
            and not self.peer_table.is_joining
            and self.find_owner(workspace, now) == self.vm
            and self._take_view(now).has_majority
        )

    def _take_view(self, now: float) -> View:
        view = self._view
        if view is None or not 0 <= now - view.taken_at < VIEW_TTL_S:
            view = self._view = View(
                now, self._list_candidates(now), self.has_majority(now)
            )
        return view

    def _list_candidates(self, now: float) -> tuple[str, ...]:
        """Return the VMs that may lend, sorted by name.

        VMs that join are among them only if no other stays, and VMs that stop
        only if all VMs stop.
        """
        alive = self.peer_table.list_alive(now)
        staying = {
            peer.vm: peer.joining for peer in alive if not peer.stopping
        }
        if (
            self.stopping_since is None
            or now < self.stopping_since + STOPPING_LEND_S
        ):
            staying[self.vm] = self.peer_table.is_joining
        joined = [vm for vm, joining in staying.items() if not joining]
        everyone = {self.vm, *(peer.vm for peer in alive)}
        return tuple(sorted(joined or staying or everyone))

    def _list_recent(self, now: float, age_s: float) -> list[str]:
        return [
            peer.vm
            for peer in self.peer_table.peers.values()
            if peer.last_heartbeat_at is not None
            and now - peer.last_heartbeat_at < age_s
        ]
