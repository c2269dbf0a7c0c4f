"""The placement of shards of batch jobs on stores, and its changes."""
