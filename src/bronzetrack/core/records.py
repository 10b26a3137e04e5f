"""Registry of the records that are stored in the platform's log."""

from __future__ import annotations

from bronzetrack.core import registry

RECORDS: registry.Registry[type] = registry.Registry("log records")
