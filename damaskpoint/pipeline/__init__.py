"""Request execution: pipelines and services, deadlines, retries, streams."""
