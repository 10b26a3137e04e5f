"""Reassembly of an answer from its chunks."""

from __future__ import annotations

import attrs

from bronzetrack.streaming import messages

# A message between daemons has at most 1 MiB, and a full queue of 1,024
# messages has to fit into memory.
MAX_CHUNK_BYTES = 65_536
MAX_EVENT_BYTES = 262_144
# Streams between daemons preserve order. A chunk is early, that is, ahead of
# the next expected chunk, only if a chunk before it was lost or is delayed
# because the daemons changed to another stream.
EARLY_CHUNKS = 256
EARLY_BYTES = 1_048_576


@attrs.define
class Assembler:
    """Reorders the chunks of the current attempt by their numbers.

    Early chunks are buffered up to `EARLY_CHUNKS` and `EARLY_BYTES`.

    :param attempt: the current attempt; chunks of other attempts are dropped
    :param next_number: number of the next chunk that the caller gets
    :param total: number of chunks of the whole answer, None until known
    """

    attempt: str
    next_number: int = 0
    total: int | None = None
    _early: dict[int, bytes] = attrs.field(factory=dict)
    _early_bytes: int = 0

    def accept(self, chunk: messages.AnswerChunk) -> list[bytes]:
        """Return the data of the chunks that can now be sent to the caller.

        The chunk is dropped if it is a duplicate, belongs to another attempt
        or does not fit into the buffer of early chunks.
        """
        if chunk.attempt != self.attempt or chunk.number < self.next_number:
            return []
        if chunk.last:
            self.total = chunk.number + 1
        self._buffer(chunk)
        ready = []
        while self.next_number in self._early:
            data = self._early.pop(self.next_number)
            self._early_bytes -= len(data)
            ready.append(data)
            self.next_number += 1
        return ready

    def _buffer(self, chunk: messages.AnswerChunk) -> None:
        if chunk.number in self._early:
            return
        size = self._early_bytes + len(chunk.data)
        full = len(self._early) >= EARLY_CHUNKS or size > EARLY_BYTES
        # The next expected chunk always has room, since it is passed on at
        # once.
        if full and chunk.number != self.next_number:
            return
        self._early[chunk.number] = chunk.data
        self._early_bytes = size

    def set_total(self, end: messages.AnswerEnd) -> None:
        """Record the total number of chunks from the end of the attempt."""
        if end.attempt == self.attempt:
            self.total = end.chunks

    @property
    def is_whole(self) -> bool:
        """Whether every chunk up to the end of the answer was passed on."""
        return self.total is not None and self.next_number >= self.total

    @property
    def has_gap(self) -> bool:
        """Whether a chunk is missing before an early chunk or the end."""
        return bool(self._early) or (
            self.total is not None and self.next_number < self.total
        )

    def restart(self, attempt: str) -> None:
        """Switch to another attempt, from its first chunk on."""
        self.next_number = 0
        self.resume(attempt)

    def resume(self, attempt: str) -> None:
        """Switch to another attempt, from the caller's position on."""
        self.attempt = attempt
        self.total = None
        self._early.clear()
        self._early_bytes = 0
