"""Which class and pool a request belongs to; decided without I/O."""
