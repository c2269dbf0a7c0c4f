"""The operator's API and the model servers' heartbeats."""
