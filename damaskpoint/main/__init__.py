"""Entry points: one module for each binary."""
