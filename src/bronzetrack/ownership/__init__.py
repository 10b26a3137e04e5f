"""Ownership of endpoints by VMs: leases, claims and handover."""
