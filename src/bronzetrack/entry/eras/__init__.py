"""Eras of the store, which rise when it is restored from an older copy."""
