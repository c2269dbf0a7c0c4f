"""Batch jobs: owners and replicas of shards, the job manager, and the client and the item runner of a gateway."""
