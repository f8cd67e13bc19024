"""Behaviour tests: features, their steps and the history checker."""
