"""Recorded traces and their replay against stated outcomes."""
