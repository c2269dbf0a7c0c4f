"""The whole control plane in simulated time: real register, cluster state, operator requests, placement, followers."""
