"""The configuration of an instance: the sections of a plan, and how plans are read, checked, compared and stored.

`sections` and `fleetwide` hold the schemas, one class for each section. A subsystem that needs a section adds its
class there or registers one of its own; the language does not change. A running instance imports only `sections`,
`fleetwide`, `model` and `compiled`. The language is imported only where a script is read.
"""
