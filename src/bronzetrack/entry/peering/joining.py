"""Whether this VM knows all other VMs that may act beside it.

A VM finds the others by their announcements in the store. That it finds none
means nothing while announcements may be missing: before a VM has written its
own, and after the store was restored from an older copy.
"""

from __future__ import annotations

import math

import attrs

from bronzetrack.entry.peering import peers

# Time after a restore of the store within which hubs, and VMs that hear no
# other VM, have announced themselves again if they reach the store.
REWRITE_LIMIT_S = 3.0


@attrs.define(eq=False)
class Joining:
    """What this VM has to know before it acts as a member of the fleet.

    :param is_joining: whether VMs may run that this one does not know
    :param era: era of the store, `None` if it states none
    :param contact_at: when the store first answered in this era since the VM
        began to join
    :param announced_at: when the store acknowledged the announcement of this
        VM in this era
    :param listed_at: as of when the announcements were last read
    :param is_introduced: whether a hub has told of the VMs that it hears, and
        this VM knows them all
    """

    is_joining: bool = True
    era: int | None = None
    contact_at: float = math.inf
    announced_at: float = math.inf
    listed_at: float = -math.inf
    is_introduced: bool = False

    @property
    def touch_s(self) -> float:
        """Time for which a VM that hears no other relies on its last read.

        Another VM that does not hear this one acts no earlier. It waits until
        lost announcements are there again, and for VMs that are announced.
        """
        return peers.PEER_EXPIRY_S if self.era is None else REWRITE_LIMIT_S

    @property
    def listing_due(self) -> float:
        """When the announcements must be read to join, in seconds."""
        if not self.is_joining or self.era is None:
            return math.inf
        due = self.contact_at + REWRITE_LIMIT_S
        return due if self.listed_at < due else math.inf

    def record_contact(self, era: int | None, now: float) -> None:
        """Record an answer of the store.

        :param era: era that it states, `None` if it states none
        """
        if era != self.era:
            self.era = era
            self.contact_at = math.inf
            self.announced_at = math.inf
        self.contact_at = min(self.contact_at, now)

    def record_announcement(self, era: int | None, now: float) -> None:
        """Record that the store has the announcement of this VM."""
        self.record_contact(era, now)
        self.announced_at = min(self.announced_at, now)

    def record_listing(
        self, era: int | None, as_of: float, now: float
    ) -> None:
        """Record a read of the announcements.

        :param as_of: time as of which they are complete
        """
        self.record_contact(era, now)
        self.listed_at = max(self.listed_at, as_of)

    def update(
        self, hears_others: bool, knows_others: bool, now: float
    ) -> bool:
        """Join, or begin to join again after a loss of touch.

        :param hears_others: whether any other VM is alive
        :param knows_others: whether any other VM may be running
        :returns: whether this VM began or ceased to join
        """
        if self.is_joining:
            self.is_joining = not self._is_complete(knows_others)
            return not self.is_joining
        if hears_others or now - self.listed_at < self.touch_s:
            return False
        # Others may have taken it for gone, and have been announced since.
        self.is_joining = True
        self.is_introduced = False
        self.contact_at = math.inf
        self.listed_at = -math.inf
        return True

    def _is_complete(self, knows_others: bool) -> bool:
        """Return whether no VM that may act is unknown.

        Of two VMs that are announced before they read, one reads of the other.
        """
        if self.listed_at < self.announced_at:
            return False
        if self.era is None:
            return True
        return self.listed_at >= self.contact_at + REWRITE_LIMIT_S and (
            self.is_introduced or not knows_others
        )
