"""Calls below: their limits, the pools that make them, further tries."""
