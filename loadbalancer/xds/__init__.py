"""xDS v3 clusters and endpoints. Needs the extra `xds`; imported only if a pool uses an xDS server list."""
