"""Entry points: one thin module for each binary."""
