"""Recorded traces and their replay against expected results."""
