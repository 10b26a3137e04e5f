"""Workspaces: their keys, priorities and quotas."""
