"""Queueing, dispatch and adapter loading for owned endpoints."""
