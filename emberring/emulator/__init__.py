"""Stand-ins of our own for model servers, the operator and clients, for trying the tier out and for its tests."""
