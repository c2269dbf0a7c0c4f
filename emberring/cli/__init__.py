"""The tools of the command line, one module per group of commands. The roles do not import this package."""
