"""Reference replay of the whole ownership stream, without truncation."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.define
class Replay:
    """Reference model of the owners.

    Owners are stored as (incarnation, fencing token) by endpoint.
    """

    owners: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    newest: dict[str, int] = attrs.field(factory=dict)
    changed: int = 0
    copied: int = 0
    # The owners at each offset of the stream.
    history: list[dict[str, tuple[str, int]]] = attrs.field(
        factory=lambda: [{}]
    )

    def add(self, record: Any) -> None:
        self.apply(len(self.history) - 1, record)
        self.history.append(dict(self.owners))

    def apply(self, offset: int, record: Any) -> None:
        kind = type(record).__name__
        if kind == "LeaseRecord":
            known = self.newest.get(record.incarnation, -1)
            self.newest[record.incarnation] = max(known, record.sequence)
            return
        if kind == "HoldingRecord":
            if record.through >= max(self.changed, self.copied):
                self.copied = record.through
                holders = {holder for holder, _ in self.owners.values()}
                for unused in set(self.newest) - holders:
                    del self.newest[unused]
            return
        self.changed = offset + 1
        if kind == "ResetRecord" and record.through == offset:
            self.owners, self.newest, self.copied = {}, {}, offset
        if kind == "ReleaseRecord":
            for name, fencing in record.endpoints.items():
                if self.owners.get(name) == (record.incarnation, fencing):
                    del self.owners[name]
        if kind == "ClaimRecord":
            for name in record.endpoints:
                holder = self.owners.get(name, (None, 0))[0]
                declared = record.lapsed.get(holder, -2)
                if holder is None or (
                    holder != record.incarnation
                    and declared >= self.newest.get(holder, -1)
                ):
                    self.owners[name] = (record.incarnation, offset)
