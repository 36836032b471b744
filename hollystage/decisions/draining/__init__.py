"""Drain notices: the signal to drain, and when it was given."""
