"""Clusters and endpoints in xDS v3 form. Needs the extra `xds`; imported only where a pool's list is of that kind."""
