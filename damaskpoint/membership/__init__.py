"""Gossip between entries: which peers are live and what they report."""
