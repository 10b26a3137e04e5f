"""Voted limits of members and load limits of the weight store."""
