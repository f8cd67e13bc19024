"""Behaviour tests: features, their steps and the support code of both."""
