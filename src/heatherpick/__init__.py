"""A query tier that spreads each search over many shards and answers on time."""

__all__ = ["__version__"]

__version__ = "0.1.0"
