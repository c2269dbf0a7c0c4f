"""The running sidecar: fronts, pools, lists and admin listener put together, and put anew by a reload."""
