"""Entry point of `python -m hollystage`."""
from .cli import app

if __name__ == "__main__":
    app(prog_name="hollystage")
