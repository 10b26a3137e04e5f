"""Clients of the platform's log service and list of VMs."""
