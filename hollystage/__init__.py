"""Admission control and request scheduling for servers behind load balancers that they do not control."""

__version__ = "0.2.0"
