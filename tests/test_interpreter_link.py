"""The interpreter link after a lost connection or a changed address: no second run, no wrong reply, nothing lost."""
import threading
import time

import pytest
from helpers import Interpreter, ServiceHarness, wait_until

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class MovingInterpreter(Interpreter):
    """Can move to a new address, and can end a run while a new connection synchronizes; responsive on a new one."""

    ends_while_syncing = ""  # request id of a run whose VALUE is written 0.2 s after it ended

    def record_command(self, command):
        super().record_command(command)
        self.responsive = self.responsive or command["cmd"] == "CONNECT"

    def handle_command(self, command):
        super().handle_command(command)
        if command["cmd"] == "TOP" and self.ends_while_syncing and len(self.commands("CONNECT")) > 1:
            request_id, self.ends_while_syncing = self.ends_while_syncing, ""
            threading.Timer(0.2, self.end, (request_id, b"once")).start()

    def move(self, harness):
        """Listens at a new address only and lets the instance read it; connections to the old one stay open."""
        old, self.address = self.listener, ("127.0.0.1", 0)
        self.listen()
        host, port = self.listener.getsockname()
        old.close()
        harness.json_config["vm"] = f"{host}:{port}"
        harness.instance.reload(harness.config(None))


def break_connection(harness):
    harness.interpreter.drop_connections()


def change_address(harness):
    harness.interpreter.move(harness)


def await_second_sync(interpreter):
    """Waits until the commands were sent on the second connection, and then the gauges requested."""
    wait_until(lambda: len(interpreter.commands("CONNECT")) >= 2)
    names = [command["cmd"] for command in interpreter.received]
    count = names[:names.index("CONNECT", 1)].count("TOP")
    wait_until(lambda: len(interpreter.commands("TOP")) >= count + 2)


@pytest.mark.parametrize("disturb", [change_address, break_connection])
@pytest.mark.parametrize("method", ["booking", "order"])
def test_run_that_ends_during_a_reconnect_is_not_started_again(disturb, method):
    """Guards against a second effect: the run's VALUE is on its way when the commands are sent again."""
    with ServiceHarness(MovingInterpreter(auto=False)) as harness:
        caller = harness.caller().send(method, b"1", Idempotency_Key=KEY)
        harness.interpreter.ends_while_syncing, = harness.interpreter.await_runs()
        disturb(harness)
        assert caller.receive().body == b"once"
        assert len(harness.interpreter.commands("APPLY")) == 1


@pytest.mark.parametrize("disturb, method, stubs", [
    (change_address, "lookup", []), (change_address, "order", []),
    (break_connection, "lookup", [1]), (break_connection, "order", [])])
def test_reply_to_a_call_is_sent_once(disturb, method, stubs):
    """Guards against a reply that the run takes for that to its next call; a STUB names the call."""
    with ServiceHarness(MovingInterpreter(auto=False)) as harness:
        interpreter, caller = harness.interpreter, harness.caller().send(method)
        request_id, = interpreter.await_runs()
        interpreter.send_notice("AWAIT", request_id, b"a call")
        wait_until(lambda: interpreter.commands("RESOLVE"))
        disturb(harness)
        await_second_sync(interpreter)
        assert len(interpreter.commands("RESOLVE")) == 1 and len(interpreter.commands("APPLY")) == 1
        assert [command["offset"] for command in interpreter.commands("STUB")] == stubs
        interpreter.end(request_id, b"done")
        assert caller.receive().body == b"done"


def test_lost_start_of_a_keyed_rpc_is_settled_once_the_rpc_is_over():
    """Guards against a run slot and a key that stay taken for good, and against a START while a run may begin."""
    with ServiceHarness(MovingInterpreter(auto=False)) as harness:
        interpreter, driver, started_at = harness.interpreter, harness.instance.driver, time.monotonic()
        caller = harness.caller().send("booking", Idempotency_Key=KEY, X_Timeout_Ms="300")
        request_id, = interpreter.await_runs()
        break_connection(harness)
        assert caller.receive().status == 500
        assert harness.caller().request("booking", Idempotency_Key=KEY, X_Timeout_Ms="100").status == 500
        assert interpreter.await_runs(2) == [request_id, request_id] and time.monotonic() - started_at > 1.3
        interpreter.end(request_id, result="gone")
        wait_until(lambda: not driver.exchanges and not harness.instance.link.pending.runs)
        caller = harness.caller().send("booking", Idempotency_Key=KEY)
        interpreter.end(interpreter.await_runs(3)[-1], b"ran")
        assert caller.receive().status == 200


@pytest.mark.parametrize("replies", [True, False])
def test_command_during_a_change_of_address_is_sent_once_to_the_new_one(replies):
    """Guards against a command that is lost, or that waits for an old connection on which no reply comes."""
    with ServiceHarness(MovingInterpreter(auto=False)) as harness:
        interpreter, link = harness.interpreter, harness.instance.link
        wait_until(lambda: link.synced)
        with interpreter.lock:  # reads nothing
            interpreter.responsive = replies
            interpreter.move(harness)
            caller = harness.caller().send("booking", Idempotency_Key=KEY)
            wait_until(lambda: link.pending.runs)
            time.sleep(0.05)
        request_id, = interpreter.await_runs()
        interpreter.end(request_id)
        assert caller.receive().status == 200 and len(interpreter.commands("APPLY")) == 1
        names = [cmd["cmd"] for cmd in interpreter.received]
        assert names.index("APPLY") > len(names) - 1 - names[::-1].index("CONNECT")
        assert (harness.count("interpreter.handovers"), harness.count("interpreter.handovers_timed_out")) == (
            (1, 0) if replies else (0, 1))
