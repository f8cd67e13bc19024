"""Observation: metrics, the state dump and logging."""
