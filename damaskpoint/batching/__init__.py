"""Runs the stages of requests in batches that all instances share."""
