"""Routing: chooses an upstream for each call and limits its load."""
