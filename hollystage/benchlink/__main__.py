"""Entry point: batches on standard input, one reply to each on standard output."""
import sys

from .frames import Malformed, read_batches
from .host import Host


def main() -> int:
    host = Host()
    try:
        for now, events in read_batches(sys.stdin.buffer):
            sys.stdout.buffer.write(host.batch(now, events))
            sys.stdout.buffer.flush()
    except Malformed as bad:
        print(f"benchlink: {bad}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
