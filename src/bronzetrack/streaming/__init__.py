"""Requests of callers, and the delivery of their answers in order."""
