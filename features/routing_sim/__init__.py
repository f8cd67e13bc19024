"""A deterministic simulation of the cold-start protocol."""
