"""Where servers come from."""
