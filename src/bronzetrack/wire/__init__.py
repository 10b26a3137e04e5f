"""Wire formats."""
