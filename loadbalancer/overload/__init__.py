"""Overload protection of one process: its CPU time and file descriptors. No I/O; times are arguments, in seconds."""
