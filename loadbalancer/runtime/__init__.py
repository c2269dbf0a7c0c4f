"""The running sidecar: frontends, pools, server lists and admin listener, built from its configuration."""
