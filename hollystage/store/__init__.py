"""What outlives the process: files that are whole or not there, checked, and owned by one process at a time.

Nothing here is imported unless the plan's `state` section names a folder.
"""
