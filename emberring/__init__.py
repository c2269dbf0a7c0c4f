"""emberring: a serving tier for model servers with a batch interface, based on the decisions of `loadbalancer`."""
