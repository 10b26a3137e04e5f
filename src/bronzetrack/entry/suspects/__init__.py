"""Requests that are suspected to crash endpoints."""
