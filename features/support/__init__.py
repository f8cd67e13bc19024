"""What the features share: processes, relay, callers, history checker."""
