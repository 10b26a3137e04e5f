"""Measurements of the decisions under a seeded load."""
