"""Reconciliation: orders that bring engines into line with the sheet."""
