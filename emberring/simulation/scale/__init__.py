"""The control plane at size, in one process: what it costs a node, and how long a partition lasts on."""
