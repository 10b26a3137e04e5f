"""Client of engines and plain services."""
