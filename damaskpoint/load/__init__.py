"""Generates load for experiments and measures scaling costs."""
