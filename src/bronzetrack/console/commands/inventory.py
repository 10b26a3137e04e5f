"""The `inventory` commands."""

from __future__ import annotations

from bronzetrack.console import publishing

command = publishing.make_group("inventory", "inventory.json")
