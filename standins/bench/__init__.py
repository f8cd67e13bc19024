"""Experiments that run a whole deployment on loopback under load and faults."""
