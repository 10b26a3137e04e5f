"""Number of copies of each adapter, and the order in which they load."""
