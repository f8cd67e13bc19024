"""Pipelines: stages, deadlines, retries and streams of one request."""
