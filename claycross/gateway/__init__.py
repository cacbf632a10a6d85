"""A gateway process: assembly of its parts, lifecycle, operator commands and statistics."""

from .configuration import Configuration
from .gateway import Gateway
from .version import VERSION

__all__ = ["VERSION", "Configuration", "Gateway"]
