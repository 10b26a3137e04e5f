"""Work, answers and their order."""
