"""Stand-ins for model servers, the operator and clients."""
