"""The operator's configuration: model, checks, patch, digest."""
