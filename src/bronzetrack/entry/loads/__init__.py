"""Loads of adapters that the holder of the lease orders."""
