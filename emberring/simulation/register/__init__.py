"""The check of the configuration register: simulated nodes, and a model that visits every state."""
