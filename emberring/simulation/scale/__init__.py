"""The control plane at scale in one process: resource usage per node, and recovery time after a partition."""
