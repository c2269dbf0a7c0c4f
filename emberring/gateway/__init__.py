"""The clients' side: listeners, routes, forwarding of streams, the batch interface."""
