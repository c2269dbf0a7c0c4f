"""The placement of shards of lots on stores: a table in the register, and its changes."""
