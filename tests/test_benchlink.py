"""The bench adapter: minimal settings, late ends of runs and malformed input."""
import io
import json
import struct
import subprocess
import sys

import pytest

from hollystage.benchlink.frames import FrameError, read_batches
from hollystage.benchlink.host import Host

BARE = {"Domain": {"Cores": 2, "RamKb": 9000.0, "RunFactor": 4.0, "Unknown": [1]}, "Unheard": {"of": 1},
        "Rules": {"FallMultiple": 4.0, "StopSendingWithinUs": 1000},
        "Profiles": [{"Repeat": "repeatable", "Value": 1.0, "PromiseUs": 500000, "GiveUpUs": 900000}]}


def batch(now, *records, tail=b""):
    body = struct.pack(">IQ", len(records), now) + b"".join(r.ljust(56, b"\0") for r in records) + tail
    return struct.pack(">I", len(body)) + body


def init(settings):
    text = json.dumps(settings).encode()
    return batch(1000, struct.pack(">BHQII", 5, 3, 9, 0, len(text)), tail=text)


def rpc(rpc_id, method=0, earlier=0):
    return struct.pack(">BHQBHQIIffBHIQ", 8, 3, rpc_id, method, 0, 0, 0, 0, 8.0, 0.5, 0, 1, 0, earlier)


def exchange(data):
    host = Host()
    return [[b[4:][i:i + 16] for i in range(4, len(b) - 4, 16)]
            for b in (host.handle_batch(now, events) for now, events in read_batches(io.BytesIO(data)))]


def test_minimal_settings_suffice():
    replies = exchange(init(BARE) + batch(2000, rpc(77)) + batch(3000, struct.pack(">BHQHI", 9, 3, 77, 0, 900)))
    assert replies[1] == [struct.pack(">BHQ", 3, 3, 77).ljust(16, b"\0")]
    assert replies[2] == []


def test_run_that_outlives_its_answer_is_still_known_when_it_ends():
    done = batch(60_000_000, struct.pack(">BHQHI", 9, 3, 77, 0, 900))
    timer = batch(50_000_000, struct.pack(">BHQB4f", 2, 3, 0, 0, *[0] * 4))
    replies = exchange(init(BARE) + batch(2000, rpc(77)) + timer + done)
    assert replies[3] == []


@pytest.mark.parametrize("data, message", [
    (b"\0\0", "inside a frame's length"),
    (struct.pack(">I", 40) + b"x", "input ends inside a frame"),
    (struct.pack(">I", 3) + b"xyz", "cannot be 3 bytes"),
    (struct.pack(">IIQ", 12, 2, 0), "do not fit"),
    (batch(1, b"\x63"), "unknown event code 99"),
    (batch(1, struct.pack(">BHQII", 5, 3, 9, 4, 40)), "reach past the end"),
    (batch(1, struct.pack(">BHQ", 3, 3, 5)), "not running"),
    (init({}), "settings cannot be read"),
    (init(BARE) + batch(2000, rpc(1, method=9)), "unknown method 9"),
    (init(BARE) + batch(2000, struct.pack(">BHQ", 6, 3, 5)), "never read"),
    (init(BARE) + batch(2000, rpc(1), struct.pack(">BHQHI", 9, 3, 1, 44, 0)), "unknown outcome 44"),
])
def test_malformed_input_raises_a_descriptive_error(data, message):
    with pytest.raises(FrameError, match=message):
        exchange(data)


def test_malformed_input_exits_with_a_message():
    done = subprocess.run([sys.executable, "-m", "hollystage.benchlink"], input=b"\0\0", capture_output=True)
    assert done.returncode == 2 and done.stderr.startswith(b"benchlink: ") and b"Traceback" not in done.stderr
