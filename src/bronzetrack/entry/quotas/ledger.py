"""Credit that the owner of a workspace lends to the VMs."""

from __future__ import annotations

import math

import attrs

from bronzetrack.entry import messages
from bronzetrack.entry.workspaces import workspaces
from bronzetrack.limits import tokens

# A new owner starts in debt for this time at the rate of the workspace, since
# the previous owner may go on lending for as long as the views differ.
HANDOVER_S = 0.1
# A new owner may be unsure for this time whether the quota is used up. It is
# the window of the quota; what was lent before no longer counts. A VM that
# asks again within the shorter time asks for the same requests.
UNSURE_S = 8.0
REPEATED_S = 0.5
# A VM that did not run for this time starts as a new owner, as the others may
# have chosen another one in the meantime.
MAX_GAP_S = 0.75
# Credit is taken back for this time after it was lent. Later returns would
# raise what is lent in the window after that of the grant.
RETURN_LIMIT_S = 1.25
# The last answers that are remembered, and for how long. 1,024 VMs may use
# eight workspaces of the same owner within that time.
MAX_ANSWERS = 8_192
ANSWER_TTL_S = 10.0
# Debt of the bucket for use without credit is bounded to this time.
MAX_DEBT_S = 2.0
# Numbers of requests have the run of the process above these bits.
SEQUENCE_BITS = 16


def measure_capacity(workspace: workspaces.Workspace) -> float:
    """Return the units that the bucket of a workspace holds.

    Without a burst it holds the units of one second.
    """
    return workspace.burst if workspace.burst > 0 else workspace.rate_per_s


@attrs.define(eq=False)
class Book:
    """Units of a workspace that the owner may still lend.

    :param rate_per_s: rate of the last refill
    :param seen_at: when this VM last found itself to be the owner
    :param lent: units lent so far, less those returned
    :param highest: the bucket as it would be if the previous owner had lent
        nothing, `None` once the owner is no longer new
    :param unsure_until: until when the owner is new
    """

    bucket: tokens.TokenBucket
    rate_per_s: float
    seen_at: float
    lent: float = 0.0
    highest: tokens.TokenBucket | None = None
    unsure_until: float = -math.inf

    def refill(self, workspace: workspaces.Workspace, now: float) -> None:
        """Add the units gained since the last call.

        The time since then counts at the lower of the old and new rates.
        """
        capacity = measure_capacity(workspace)
        rate_per_s = min(self.rate_per_s, workspace.rate_per_s)
        self.bucket = self.bucket.refill(
            rate_per_s, capacity, tokens.to_ms(now)
        ).limit(capacity)
        self.rate_per_s = workspace.rate_per_s
        self.seen_at = now
        if self.highest is None:
            return
        self.highest = self.highest.refill(
            rate_per_s, capacity, tokens.to_ms(now)
        ).limit(capacity)
        if now >= self.unsure_until:
            self.highest = None

    def settle(self, returned: float, capacity: float) -> None:
        """Apply returned credit, or a use without credit if negative."""
        floor = -MAX_DEBT_S * self.rate_per_s
        changed = self.bucket.add(returned).limit(capacity)
        if changed.tokens < floor:
            changed = attrs.evolve(
                changed, tokens=min(self.bucket.tokens, floor)
            )
        self.lent -= returned
        self.bucket = changed
        self.charge(-returned)

    def lend(self, least: float, wanted: float, capacity: float) -> float:
        """Return the units lent, 0 if the least amount is not there.

        An amount above the capacity is lent from a full bucket.
        """
        if self.bucket.tokens < min(least, capacity):
            return 0.0
        affordable = math.floor(max(0.0, self.bucket.tokens))
        granted = max(least, min(wanted, affordable))
        self.bucket = self.bucket.take(granted)
        self.lent += granted
        self.charge(granted)
        return granted

    def is_unsure(self, least: float, capacity: float) -> bool:
        """Return whether the previous owner might have lent an amount."""
        return self.highest is not None and self.highest.tokens >= min(
            least, capacity
        )

    def charge(self, amount: float, capacity: float = math.inf) -> None:
        """Count what the previous owner would have lent."""
        if self.highest is not None:
            self.highest = self.highest.take(amount).limit(capacity)

    def measure_wait_ms(self, least: float, capacity: float) -> int:
        """Return the time until the least amount is there."""
        missing = min(least, capacity) - self.bucket.tokens
        wait_ms = 1000 * missing / self.rate_per_s
        return max(1, math.ceil(min(wait_ms, messages.MAX_RETRY_MS)))


@attrs.frozen
class Answer:
    """The last answer to a VM.

    :param number: number of the request
    :param at: time of the answer
    :param charged: units that the previous owner would have lent
    """

    grant: messages.CreditGrant
    number: int
    at: float
    charged: float = 0.0


@attrs.define(eq=False)
class Ledger:
    """Books of the workspaces that this VM owns.

    :param answers: last answers by VM and workspace, oldest first
    """

    books: dict[str, Book] = attrs.field(factory=dict)
    answers: dict[tuple[str, int], Answer] = attrs.field(factory=dict)

    def keep(self, workspace: workspaces.Workspace, now: float) -> Book:
        """Return the book of a workspace that this VM owns, refilled."""
        book = self.books.get(workspace.name)
        if book is None or now - book.seen_at > MAX_GAP_S:
            debt = HANDOVER_S * workspace.rate_per_s
            book = self.books[workspace.name] = Book(
                tokens.TokenBucket(-debt, tokens.to_ms(now)),
                workspace.rate_per_s,
                now,
                highest=tokens.TokenBucket(
                    measure_capacity(workspace), tokens.to_ms(now)
                ),
                unsure_until=now + UNSURE_S,
            )
        book.refill(workspace, now)
        return book

    def drop(self, workspace: str) -> None:
        """Forget the book of a workspace that this VM does not own."""
        self.books.pop(workspace, None)

    def answer(
        self,
        vm: str,
        request: messages.CreditRequest,
        workspace: workspaces.Workspace,
        now: float,
    ) -> messages.CreditGrant | None:
        """Return the answer to a request for credit.

        A repeated request gets the same answer, an older one gets none.
        """
        key = (vm, request.workspace)
        last = self._find_last(key, now)
        if last is not None and is_same_run(last, request):
            if request.number == last.number:
                return last.grant
            if request.number < last.number:
                return None
        if key not in self.answers and not self._make_room(now):
            return None
        book = self.keep(workspace, now)
        capacity = measure_capacity(workspace)
        book.settle(_limit_return(request, last, now), capacity)
        if last is not None and now - last.at <= REPEATED_S:
            repeated = min(last.charged, request.wanted)
            book.charge(-repeated, capacity)
        answer = _lend(book, request, capacity, now)
        # The oldest answers come first, so that they are found at once.
        self.answers.pop(key, None)
        self.answers[key] = answer
        return answer.grant

    def _find_last(self, key: tuple[str, int], now: float) -> Answer | None:
        """Return the last answer if it is recent."""
        last = self.answers.get(key)
        if last is None or now - last.at > ANSWER_TTL_S:
            return None
        return last

    def _make_room(self, now: float) -> bool:
        """Discard old answers and return whether there is room for one."""
        while self.answers:
            key, oldest = next(iter(self.answers.items()))
            if now - oldest.at < ANSWER_TTL_S:
                break
            del self.answers[key]
        return len(self.answers) < MAX_ANSWERS


def is_same_run(last: Answer, request: messages.CreditRequest) -> bool:
    """Return whether a request is of the run that got an answer."""
    return last.number >> SEQUENCE_BITS == request.number >> SEQUENCE_BITS


def _lend(
    book: Book, request: messages.CreditRequest, capacity: float, now: float
) -> Answer:
    """Lend credit, or refuse it."""
    granted = book.lend(request.least, request.wanted, capacity)
    if granted:
        grant = messages.CreditGrant(request.short_number, granted)
        return Answer(grant, request.number, now)
    grant = messages.CreditGrant(
        request.short_number,
        granted,
        book.measure_wait_ms(request.least, capacity),
        book.is_unsure(request.least, capacity),
    )
    charged = request.wanted if grant.is_unsure else 0.0
    book.charge(charged)
    return Answer(grant, request.number, now, charged)


def _limit_return(
    request: messages.CreditRequest, last: Answer | None, now: float
) -> float:
    """Return how much of a return counts.

    Only credit of the last grant to the same run can be returned.
    """
    if request.returned <= 0:
        return request.returned
    if (
        last is None
        or not is_same_run(last, request)
        or now - last.at > RETURN_LIMIT_S
    ):
        return 0.0
    return min(request.returned, last.grant.granted)
