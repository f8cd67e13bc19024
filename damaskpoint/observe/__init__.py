"""Observability: metrics, the state dump and logging."""
