"""The whole control plane in simulated time: real register, board, orders, placement, followers."""
