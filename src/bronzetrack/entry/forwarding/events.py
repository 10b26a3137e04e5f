"""Splitting of event streams into complete events."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import re

import attrs

# An event ends with an empty line. Lines end with LF, CRLF or CR (WHATWG HTML,
# "Parsing an event stream").
BOUNDARIES = (b"\n\n", b"\n\r", b"\r\r")
ENDS = (*BOUNDARIES, b"\n\r\n", b"\r\r\n")
LONGEST_END = max(map(len, ENDS))
BLOCK = re.compile(rb".*?(?>\r\n|\n|\r)(?>\r\n|\n|\r)", re.DOTALL)
MEDIA_TYPE = b"text/event-stream"
ID_FIELD = b"id:"
COMMENT = b":"
# Longer ids are no position that an endpoint can be asked to go on after.
MAX_ID_DIGITS = 18
# Comments since the last event that are kept, to find those that come again.
MAX_COMMENTS = 64
MAX_COMMENT_BYTES = 256


def count_events(data: bytes) -> int:
    """Return the number of events that end in some data.

    An event whose end is split is not counted, and comments are.
    """
    return sum(map(data.count, BOUNDARIES))


@attrs.define
class EventBuffer:
    """Buffers an event until it has arrived completely.

    :param last_id: numeric id of the last complete event, or the id after
        which the caller asked for events; `None` without one
    :param rest: received bytes of the event that is still incomplete
    :param passed: whether an event was complete
    :param ends_with_cr: whether the last event ended with CR, so that a LF
        still belongs to it
    """

    last_id: int | None = None
    rest: bytearray = attrs.field(factory=bytearray)
    passed: bool = False
    ends_with_cr: bool = False
    _comments: list[bytes] = attrs.field(factory=list)
    _repeated: list[bytes] = attrs.field(factory=list)

    @property
    def is_position_known(self) -> bool:
        """Whether another endpoint can go on after the last event."""
        return self.last_id is not None or not self.passed

    def feed(self, data: bytes) -> bytes:
        """Add data and return the bytes of all events now complete."""
        line_end = b""
        if self.ends_with_cr and data:
            self.ends_with_cr = False
            if data.startswith(b"\n"):
                line_end, data = data[:1], data[1:]
        # Only what is new is searched: an event may come byte by byte.
        start = max(0, len(self.rest) - 1)
        self.rest += data
        end = find_last_end(self.rest, start)
        complete = bytes(self.rest[:end])
        del self.rest[:end]
        if complete:
            self.ends_with_cr = not self.rest and complete.endswith(b"\r")
            complete = self._drop_repeated(complete)
        if complete:
            self._update_last_id(complete)
        return line_end + complete

    def discard_rest(self) -> None:
        """Discard an incomplete event whose remainder will not arrive."""
        self.rest.clear()
        self.ends_with_cr = False

    def prepare_resume(self) -> None:
        """Expect the bytes that follow the last event from another endpoint.

        It may repeat the comments after that event.
        """
        self.discard_rest()
        self._repeated = list(self._comments)

    def _drop_repeated(self, complete: bytes) -> bytes:
        """Return what is left of some blocks without repeated comments."""
        if not self._repeated:
            return complete
        start = 0
        for match in BLOCK.finditer(complete):
            if not self._repeated:
                break
            if _normalize(match[0]) != self._repeated[0] + b"\n\n":
                self._repeated.clear()
                break
            del self._repeated[0]
            start = match.end()
        return complete[start:]

    def _update_last_id(self, complete: bytes) -> None:
        """Take the id of the last of several events; keep what follows it."""
        *blocks, _ = _normalize(complete).split(b"\n\n")
        event = next(filter(_is_event, reversed(blocks)), None)
        if event is not None:
            self.passed = True
            self.last_id = find_id(event)
            self._comments.clear()
        if event is not blocks[-1]:
            comments = itertools.takewhile(
                lambda block: block is not event, reversed(blocks)
            )
            self._keep_comments(reversed([*comments]))

    def _keep_comments(self, comments: Iterable[bytes]) -> None:
        """Keep short comments while there is room."""
        room = MAX_COMMENTS - len(self._comments)
        short = (item for item in comments if len(item) <= MAX_COMMENT_BYTES)
        self._comments.extend(itertools.islice(short, room))


def find_last_end(data: bytes | bytearray, start: int) -> int:
    """Return where the last event ends in some data, 0 if none does.

    :param start: first position that is searched
    """
    found = max(data.rfind(item, start) for item in BOUNDARIES)
    if found < 0:
        return 0
    end = found + 2
    is_crlf = data[end - 1 : end + 1] == b"\r\n"
    return end + is_crlf


def ends_event(data: bytes) -> bool:
    """Return whether data ends with the empty line that ends an event."""
    return data.endswith(ENDS)


def is_event_stream(content_type: bytes | None) -> bool:
    """Return whether a body consists of events.

    :param content_type: value of the header, `None` without it
    """
    if content_type is None:
        return True
    return content_type.partition(b";")[0].strip().lower() == MEDIA_TYPE


def _normalize(data: bytes) -> bytes:
    """Return data whose lines end with LF only."""
    return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")


def _is_event(block: bytes) -> bool:
    """Return whether lines between two boundaries are not only comments."""
    return any(
        line and not line.startswith(COMMENT) for line in block.split(b"\n")
    )


def find_id(event: bytes) -> int | None:
    """Return the numeric id of an event, `None` if it has none."""
    values = (
        line[len(ID_FIELD) :].strip()
        for line in event.split(b"\n")
        if line.startswith(ID_FIELD)
    )
    return parse_id(next(values, b""))


def parse_id(value: bytes) -> int | None:
    """Return an id as a number, `None` if it is anything else."""
    if not value.isdigit() or len(value) > MAX_ID_DIGITS:
        return None
    return int(value)
