"""Checks a configuration before an operator sends it."""
