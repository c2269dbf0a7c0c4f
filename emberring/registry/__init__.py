"""Records of model servers: heartbeats, drains, goodbyes, timeouts, and how records merge. Does no network I/O."""
