"""Reads the processor time and the memory of processes from /proc."""

from __future__ import annotations

import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Indexes of the fields in /proc/PID/stat, counted after the program name,
# which may contain spaces.
USER_TIME_INDEX = 11
SYSTEM_TIME_INDEX = 12


def read_cpu_s(pid: int) -> float:
    """Return the user and system time of a process, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[USER_TIME_INDEX]) + int(fields[SYSTEM_TIME_INDEX])
    return ticks / TICKS_PER_S


def read_memory_bytes(pid: int | str = "self") -> int:
    """Return the resident memory of a process, in bytes."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmRSS"))
    return int(line.split()[1]) * 1024
