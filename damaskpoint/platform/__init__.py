"""The platform's table, object store and instance list."""
