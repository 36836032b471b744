"""hollystage: admission and scheduling inside servers that stand behind other people's balancers."""

__version__ = "0.2.0"
