"""The entry process: its HTTP servers and the wiring of its components."""
