"""The entry process: HTTP borders and the wiring of its parts."""
