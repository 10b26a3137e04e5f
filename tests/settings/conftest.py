"""A correct settings file."""

from __future__ import annotations

import pytest

GOOD = """\
[vm]
name = vm-1
availability_zone = zone-a
[listen]
callers = 127.0.0.1:8000
operators = 127.0.0.1:8001
peers = 127.0.0.1:8002
[platform]
log_url = http://127.0.0.1:9000
vm_list_url = http://127.0.0.1:9000
"""


@pytest.fixture
def good() -> str:
    return GOOD
