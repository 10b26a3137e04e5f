"""The controllers of a daemon, one module each."""
