"""Client of endpoints, which are engines or plain services."""
