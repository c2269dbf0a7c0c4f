"""The life of lots and items: shards, owners, quota, repair. No sockets."""
