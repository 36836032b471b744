"""Entry point: reads batches from standard input and writes one reply to each to standard output."""
import sys

from .frames import FrameError, read_batches
from .host import Host


def main() -> int:
    """Returns the exit code: 0 at the end of the input, 1 if the output is closed, 2 for malformed input."""
    host = Host()
    try:
        for now, events in read_batches(sys.stdin.buffer):
            sys.stdout.buffer.write(host.handle_batch(now, events))
            sys.stdout.buffer.flush()
    except FrameError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
