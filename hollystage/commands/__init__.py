"""The subcommands other than `serve`.

They import their dependencies when they run, so that `serve` does not load them.
"""
