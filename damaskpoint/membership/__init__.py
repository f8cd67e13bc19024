"""Membership: gossip between entries, peers and their liveness."""
