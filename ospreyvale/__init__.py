"""Measurement-based call admission control for a mesh of exchanges."""

from ospreyvale.routing.control import Control

__all__ = ["Control"]
__version__ = "0.1.0"
