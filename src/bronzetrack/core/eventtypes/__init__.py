"""Types of log events, by subject."""
