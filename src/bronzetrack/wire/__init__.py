"""Encodings of messages, records, documents and the state dump."""
