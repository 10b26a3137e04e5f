"""Retries, and requests that crash endpoints."""
