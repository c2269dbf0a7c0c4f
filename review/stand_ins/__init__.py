"""Stand-ins for clients, model servers, the operator and the platform. Standard library only."""
