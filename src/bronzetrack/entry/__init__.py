"""Entry VMs: callers' requests straight to the endpoints that run them."""
