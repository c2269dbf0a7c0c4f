"""Peer sampling: each node keeps a partial view of the nodes and exchanges parts of it with peers."""
