"""Blackboard, registries, failures and other foundations."""
