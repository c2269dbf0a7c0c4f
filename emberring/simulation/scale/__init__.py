"""The control plane at size, in one process: what it costs a node, and how long recovery from a partition takes."""
