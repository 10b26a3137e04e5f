"""Processor time and memory of processes, read from /proc."""

from __future__ import annotations

import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Positions after the name of the program, which may hold spaces.
USER_FIELD = 11
SYSTEM_FIELD = 12


def read_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
    return ticks / TICKS_PER_S


def read_memory_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) * 1024
