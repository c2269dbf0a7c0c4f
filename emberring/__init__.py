"""emberring: a serving tier for model servers with a batch interface, around the decisions of `loadbalancer`."""
