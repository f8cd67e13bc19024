"""A small deterministic simulation of the cold-start protocol."""
