"""Commands of the command-line tool, one module for each."""
