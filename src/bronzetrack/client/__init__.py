"""Client library: requests, look-ups, publishing and inspection."""
