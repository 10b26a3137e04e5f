"""The daemon process."""
