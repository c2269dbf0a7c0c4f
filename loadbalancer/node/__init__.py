"""The platform's node: one HTTP front, one pool, one list."""
