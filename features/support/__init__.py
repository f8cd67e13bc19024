"""Test support: processes, relay, callers, trials and history checker."""
