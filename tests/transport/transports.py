"""Transport that tests control in place of a socket."""

from __future__ import annotations

import attrs


@attrs.define
class Transport:
    """Transport of an endpoint's connection that only notes its state."""

    reading: bool = True
    closing: bool = False

    def get_extra_info(self, name: str) -> None:
        """Return no socket."""

    def get_write_buffer_size(self) -> int:
        """Return that all bytes are sent."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.closing

    def write(self, data: bytes) -> None:
        """Send bytes to nowhere."""

    def pause_reading(self) -> None:
        """Stop reading."""
        self.reading = False

    def resume_reading(self) -> None:
        """Read again."""
        self.reading = True

    def abort(self) -> None:
        """Close the connection."""
        self.closing = True
