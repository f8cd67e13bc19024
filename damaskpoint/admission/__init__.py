"""Admission: which requests of a client account start, wait or end."""
