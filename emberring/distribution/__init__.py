"""Facts carried to every node: version vectors, pulls, followers."""
