"""Service discovery: server lists and the changes between them."""
