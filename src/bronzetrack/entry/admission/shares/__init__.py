"""Admitted share of the requests to full services without engines."""
