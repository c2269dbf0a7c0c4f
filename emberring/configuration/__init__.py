"""The operator's configuration: its model, checks, changes, and the state that the control nodes agree on."""
