"""Choice of an endpoint for a request, sending and relay of the answer."""
