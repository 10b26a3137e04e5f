"""HTTP/1.1 towards callers and endpoints, on the transports of the loop."""
