"""Blackboard, registries, failures and other shared modules."""
