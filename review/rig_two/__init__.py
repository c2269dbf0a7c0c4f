"""Stand-ins of the cases of the second review: a platform on loopback, model servers, clients, an operator."""
