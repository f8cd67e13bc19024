"""Reconciliation: orders that bring engines to their configured state."""
