"""Rollouts of a service version: exposure, evidence, phases and the gate."""
