"""A node for the platform: one HTTP listener, one server pool and one server list."""
