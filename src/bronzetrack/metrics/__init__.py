"""Metrics in the Prometheus format."""
