"""Retry policy and tracking of requests that crash endpoints."""
