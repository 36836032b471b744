"""The language of settings scripts: grammar, units, evaluator and formatter.

This package does not know what can be configured: hollystage.plan passes in the sections.
"""
