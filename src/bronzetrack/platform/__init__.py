"""Adapter to the users' platform: its names, documents and calls.

The folder lies inside the package because a top-level package named
`platform` would hide the module of the standard library.
"""
