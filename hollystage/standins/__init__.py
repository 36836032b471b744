"""Stand-ins on loopback for the interpreter, the ledger, the control plane and the callers of an instance.

Tests, benchmarks and `hollystage demo` use them.
"""
