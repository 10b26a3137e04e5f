"""Puts the chunks of one answer in order."""

from __future__ import annotations

import attrs

from bronzetrack.streaming import messages

# A message between daemons is at most 1 MiB, and a full queue of 1,024 of
# them has to fit into memory.
CHUNK_BYTES = 65_536
EVENT_BYTES = 262_144
# Streams between daemons keep the order, so that a chunk is early only when
# one before it is lost or late by a change of streams.
EARLY_CHUNKS = 256
EARLY_BYTES = 1_048_576


@attrs.define
class Assembler:
    """Accepts the chunks of the current attempt in the order of numbers.

    :param attempt: the attempt whose chunks count
    :param next_number: the next chunk that the caller gets
    :param total: how many chunks the whole answer has, once known
    """

    attempt: str
    next_number: int = 0
    total: int | None = None
    _early: dict[int, bytes] = attrs.field(factory=dict)
    _early_bytes: int = 0

    def accept(self, chunk: messages.AnswerChunk) -> list[bytes]:
        """Return the chunks that the caller can be sent now."""
        if chunk.attempt != self.attempt or chunk.number < self.next_number:
            return []
        if chunk.last:
            self.total = chunk.number + 1
        self._keep(chunk)
        ready = []
        while self.next_number in self._early:
            data = self._early.pop(self.next_number)
            self._early_bytes -= len(data)
            ready.append(data)
            self.next_number += 1
        return ready

    def _keep(self, chunk: messages.AnswerChunk) -> None:
        if chunk.number in self._early:
            return
        size = self._early_bytes + len(chunk.data)
        full = len(self._early) >= EARLY_CHUNKS or size > EARLY_BYTES
        # The next chunk always has room, since it is passed on at once.
        if full and chunk.number != self.next_number:
            return
        self._early[chunk.number] = chunk.data
        self._early_bytes = size

    def end(self, end: messages.AnswerEnd) -> None:
        """Note how many chunks the answer has."""
        if end.attempt == self.attempt:
            self.total = end.chunks

    @property
    def is_whole(self) -> bool:
        """Whether every chunk up to the end marker was passed on."""
        return self.total is not None and self.next_number >= self.total

    @property
    def has_gap(self) -> bool:
        """Whether a chunk is missing before one that arrived, or the end."""
        return bool(self._early) or (
            self.total is not None and self.next_number < self.total
        )

    def restart(self, attempt: str) -> None:
        """Begin another attempt from its first chunk on."""
        self.next_number = 0
        self.resume(attempt)

    def resume(self, attempt: str) -> None:
        """Continue with another attempt at the caller's position."""
        self.attempt = attempt
        self.total = None
        self._early.clear()
        self._early_bytes = 0
