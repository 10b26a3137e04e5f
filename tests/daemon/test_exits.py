"""Tests of the exit codes of a daemon and of its last log lines."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest

from bronzetrack.daemon import exits
from standins import ports
from standins import site as sites

FAILING_CONTROLLER = """
import anyio
from bronzetrack.core import controllers
from bronzetrack.daemon import main

@controllers.CONTROLLERS.register("broken")
class BrokenController(controllers.Controller):
    async def run(self):
        await anyio.sleep(0.1)
        raise ValueError("first line\\nsecond line")

main.main()
"""


@pytest.fixture
def settings_file(tmp_path, good) -> pathlib.Path:
    """Return a settings file with free ports and an unreachable platform."""
    text = good
    for port in ("8000", "8001", "8002", "9000"):
        text = text.replace(f":{port}", f":{ports.hold_port('127.0.0.1')}")
    path = tmp_path / "vm.ini"
    path.write_text(text)
    return path


@pytest.fixture
def run_daemon(settings_file, monkeypatch):
    """Return a function that runs a daemon until it exits.

    The function returns the exit code and the parsed log lines.
    """
    source = pathlib.Path(sites.TESTS).parent / "src"
    monkeypatch.setenv("PYTHONPATH", str(source))

    def run(*command: str) -> tuple[int, list[dict]]:
        result = subprocess.run(
            [sys.executable, *command, "--config", str(settings_file)],
            capture_output=True,
            text=True,
            timeout=30,
        )
        lines = result.stderr.splitlines()
        return result.returncode, [json.loads(line) for line in lines]

    return run


def test_failed_controller_ends_the_process(run_daemon):
    """Guards against a daemon that keeps running without a controller."""
    code, lines = run_daemon("-c", FAILING_CONTROLLER)
    assert code == exits.ExitCode.CONTROLLER_FAILED
    (line,) = [item for item in lines if item["level"] == "critical"]
    assert line["event"] == "controller_failed"
    assert line["controller"] == "broken"
    assert line["vm"] == "vm-1"
    assert "first line\nsecond line" in line["exception"]


def test_address_in_use_is_logged(run_daemon, settings_file):
    """Guards against a daemon that listens on some of its addresses only."""
    address = settings_file.read_text().partition("operators = ")[2]
    host, _, port = address.partition("\n")[0].rpartition(":")
    with sites.socket.create_server((host, int(port))):
        code, lines = run_daemon("-m", "bronzetrack.daemon")
    assert code == exits.ExitCode.ADDRESS_UNAVAILABLE
    assert lines[-1]["event"] == "listen_failed"
    assert lines[-1]["address"] == f"{host}:{port}"
