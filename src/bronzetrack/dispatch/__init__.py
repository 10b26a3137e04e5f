"""Queues and loaded adapters of owned endpoints."""
