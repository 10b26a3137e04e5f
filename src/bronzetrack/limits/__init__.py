"""Voted limits and limits of the weight store."""
