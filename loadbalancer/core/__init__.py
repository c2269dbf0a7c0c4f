"""The life of requests and attempts; knows no protocol, no list and no file."""
