"""Simulator of the complete control plane: real register, cluster state, operator requests, placement, followers."""
