"""Damaskpoint: a serving system for multi-stage model pipelines.

The small stand-ins for external systems that the tests and the demonstration
use are in the separate package ``standins``.
"""

from typing import Final

__version__: Final = '0.1.0'
