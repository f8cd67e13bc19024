"""Damaskpoint: a serving system for multi-stage model pipelines.

The package holds the product. The small stand-ins for outside systems that
the tests and the demonstration use live beside it, in ``standins``.
"""

from typing import Final

__version__: Final = '0.1.0'
