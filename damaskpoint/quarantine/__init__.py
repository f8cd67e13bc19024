"""Finds prompt parts that crash runners, and refuses requests with them."""
