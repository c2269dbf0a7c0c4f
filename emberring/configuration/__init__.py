"""The operator's configuration: its model, validation and changes, and the state replicated by the control nodes."""
