"""Adapter to the users' platform: its wire names, documents and calls.

This package is nested in `bronzetrack` because a top-level package named
`platform` would shadow the standard library module of that name.
"""
