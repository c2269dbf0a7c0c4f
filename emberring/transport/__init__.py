"""Messages between nodes: JSON lines over TCP."""
