"""Peer sampling: shuffled partial views of the nodes."""
