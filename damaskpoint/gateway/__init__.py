"""The gateway process, which forwards requests on the users' platform."""
