"""Registers the plugin for known failures if KNOWN_RED is set, as `.ci/run` does."""
import os
import pathlib
import sys

sys.path.insert(0, os.path.dirname(__file__))

from known_red import KnownRedPlugin  # noqa: E402


def pytest_configure(config):
    path = os.environ.get("KNOWN_RED")
    if path:
        config.pluginmanager.register(KnownRedPlugin(pathlib.Path(path)))
