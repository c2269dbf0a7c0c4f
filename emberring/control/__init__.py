"""The control role: the operators' API, the model servers' heartbeats, and the status of the tier."""
