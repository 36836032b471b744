"""State that survives a restart: files that are written atomically, checked by hash and owned by one process.

Nothing in this package is imported unless the `state` section of the plan names a folder.
"""
