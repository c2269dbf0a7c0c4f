"""The command line: one module for each role and tool."""
