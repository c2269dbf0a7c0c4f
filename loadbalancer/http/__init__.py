"""HTTP/1.1: the server side for callers, and the client side for servers."""
