"""Routing: which upstream takes a call, and how much it may bear."""
