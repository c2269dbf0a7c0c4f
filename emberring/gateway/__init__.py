"""The gateway: client listeners, routing, forwarding of requests and streams to servers, the batch interface."""
