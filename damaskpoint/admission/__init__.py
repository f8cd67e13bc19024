"""Admission control: starts, queues or refuses the requests of accounts."""
