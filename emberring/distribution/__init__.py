"""Replication of status records to every node: version vectors, exchanges, pulls, followers."""
