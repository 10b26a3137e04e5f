"""What one connection of a caller draws on the account of memory."""

from __future__ import annotations

import attrs

from bronzetrack.transport import account as accounts


@attrs.define(eq=False)
class Charges:
    """Keeps the account in step with what a connection occupies.

    Complete requests are charged by themselves.

    :param heads: memory of an incomplete head, or of that of a body
    :param bodies: memory of an incomplete body and of unparsed bytes
    :param answers: bytes that the caller has not read
    """

    account: accounts.Account
    reader: accounts.Reader
    heads: int = 0
    bodies: int = 0
    answers: int = 0

    @property
    def has_input(self) -> bool:
        """Whether anything is charged for what the caller sent."""
        return bool(self.heads or self.bodies)

    def set_input(
        self, heads: int, bodies: int, is_reading: bool, now: float
    ) -> None:
        """Charge what the caller sent.

        :param is_reading: whether a request is incomplete
        """
        account = self.account
        account.change(accounts.Holder.HEADS, heads - self.heads)
        account.change(accounts.Holder.BODIES, bodies - self.bodies)
        self.heads = heads
        self.bodies = bodies
        size = heads + bodies if is_reading else 0
        self._note(account.incomplete, size, now)

    def set_answers(self, size: int, now: float) -> None:
        """Charge what the caller has not read.

        The time since which it does not read is kept.
        """
        self.account.change(accounts.Holder.ANSWERS, size - self.answers)
        self.answers = size
        item = self.account.unread.get(self.reader)
        since = item.since if item is not None else now
        self._note(self.account.unread, size, since)

    def _note(
        self,
        occupants: dict[accounts.Reader, accounts.Occupant],
        size: int,
        since: float,
    ) -> None:
        """Note what the connection occupies for the choice of who yields."""
        item = occupants.get(self.reader)
        if not size:
            occupants.pop(self.reader, None)
        elif item is None:
            occupants[self.reader] = accounts.Occupant(size, since, since)
        else:
            item.size, item.since = size, since
