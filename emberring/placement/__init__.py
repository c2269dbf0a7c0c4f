"""Which stores hold which shard of the batch jobs: the placement in the register, and its changes."""
