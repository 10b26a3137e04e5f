"""Streams between daemons."""
