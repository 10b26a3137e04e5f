"""Benchmarks of the scheduling decisions under a seeded simulated load."""
