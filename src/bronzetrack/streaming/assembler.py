"""Puts the chunks of one answer in order."""

from __future__ import annotations

import attrs

from bronzetrack.streaming import messages

BUFFERED_CHUNKS = 1_024


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

    def accept(self, chunk: messages.AnswerChunk) -> list[bytes]:
        """Return the chunks that the caller can be sent now."""
        if chunk.attempt != self.attempt or chunk.number < self.next_number:
            return []
        if len(self._early) < BUFFERED_CHUNKS:
            self._early[chunk.number] = chunk.data
        ready = []
        while self.next_number in self._early:
            ready.append(self._early.pop(self.next_number))
            self.next_number += 1
        return ready

    def end(self, end: messages.AnswerEnd) -> None:
        """Note how many chunks the answer has."""
        if end.attempt == self.attempt:
            self.total = end.chunks

    @property
    def is_whole(self) -> bool:
        """Whether every chunk up to the end marker was passed on."""
        return self.total is not None and self.next_number >= self.total

    def restart(self, attempt: str) -> None:
        """Continue with another attempt at the caller's position."""
        self.attempt = attempt
        self.total = None
        self._early.clear()
