"""Logging as JSON lines on standard error."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any

STANDARD_FIELDS = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None))
) | {"message", "asctime", "taskName", "color_message"}


# Defaults of the fields that every line has. Libraries log without an event.
COMMON_FIELDS: dict[str, Any] = {
    "event": "library",
    "request_id": None,
    "attempt_id": None,
}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object.

    :param fields: constant fields of every line, such as the VM
    """

    def __init__(self, fields: dict[str, str]) -> None:
        super().__init__()
        self._fields = fields

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as a JSON object on one line."""
        extra = {
            name: value
            for name, value in vars(record).items()
            if name not in STANDARD_FIELDS
        }
        line: dict[str, Any] = {
            "time": record.created,
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
            **COMMON_FIELDS,
            **extra,
            **self._fields,
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logs(
    level: str,
    vm: str,
    availability_zone: str,
    stream: Any = None,
) -> None:
    """Configure logging of JSON lines to a stream.

    :param level: lowest level that is logged
    :param vm: name of the VM, a field of every line
    :param availability_zone: zone of the VM, a field of every line
    :param stream: where lines are written, by default standard error
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    fields = {"vm": vm, "availability_zone": availability_zone}
    handler.setFormatter(JsonFormatter(fields))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.captureWarnings(True)
