"""Routing of requests by their likely cost."""
