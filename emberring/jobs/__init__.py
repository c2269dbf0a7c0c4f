"""Batch jobs: shard owners, replicas, the job manager, and the gateways' client and runner."""
