"""Forwards requests to runners and their answers to callers."""
