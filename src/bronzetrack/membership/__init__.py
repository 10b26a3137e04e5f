"""Membership of VMs: heartbeats, status and the view of other VMs."""
