"""Model servers: incarnations, heartbeats, drains. No sockets."""
