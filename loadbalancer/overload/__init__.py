"""What one process can bear: its core's time, its descriptors. Decisions without I/O, times in seconds as arguments."""
