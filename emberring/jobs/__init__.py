"""The life of batch jobs and items: shards, owners, quota, repair. No sockets."""
