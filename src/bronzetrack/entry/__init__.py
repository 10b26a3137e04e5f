"""Entry VMs, which forward callers' requests directly to endpoints."""
