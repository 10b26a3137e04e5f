"""Explanation of what this VM would do with a request, without sending it."""
