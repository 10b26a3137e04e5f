"""HTTP/1.1 server for callers and client for endpoints, on asyncio."""
