"""Quotas of workspaces over all entry VMs."""
