"""The failure detector: probes members directly and through helpers, and reacts to missing answers.

It also detects pauses of this process, so that members are not suspected because this process did not run.
"""
from __future__ import annotations

from typing import Any

import msgspec

from .messages import Ack, Nack, Ping, PingRequest
from .parameters import Parameters
from .records import Belief, Record
from .state import MembershipState


class Probe:
    """A ping that waits for its answer, and the helpers that were asked to probe the same member."""

    __slots__ = ("name", "process", "helpers_asked", "nacks", "address")

    def __init__(self, name: str, process: tuple[int, int], address: str) -> None:
        self.name, self.process, self.address = name, process, address
        self.helpers_asked = self.nacks = 0


class FailureDetector(MembershipState):
    """The part of `Members` that sends probes and answers requests for probes."""

    def __init__(self, me: Record, configured_peers: Any, parameters: Parameters, seed: int, now: int) -> None:
        super().__init__(me, configured_peers, parameters, seed, now)
        self.probes: dict[int, Probe] = {}
        # indirect probes for others, by our sequence number: address of the requester and its sequence number
        self.relays: dict[int, tuple[str, int]] = {}

    def _probe(self, _: None) -> None:
        """Timer: pings the next member of this round."""
        self._schedule(self.now + self.local_health.scale(self.parameters.probe_period), self._probe, None)
        if self.ousted:
            return
        target = self._next_target()
        if target is None:
            return
        self.seq += 1
        self.probes[self.seq] = Probe(target.name, target.process, target.address)
        self._send(target.address, Ping(self.seq, target.name), target)
        ack_timeout = self.local_health.scale(self.parameters.ack_timeout)
        self._schedule(self.now + ack_timeout, self._probe_indirectly, self.seq)
        probe_period = self.local_health.scale(self.parameters.probe_period)
        self._schedule(self.now + probe_period - 1, self._probe_failed, self.seq)

    def _next_target(self) -> Record | None:
        """Returns the next live member of this round; shuffles all members for a new round when one ends."""
        for _ in range(len(self.probe_queue) + len(self.living) + 1):
            if not self.probe_queue:
                if not self.living:
                    return None
                self.probe_queue = list(self.living)
                self.rng.shuffle(self.probe_queue)
            record = self.records.get(self.probe_queue.pop())
            if record is not None and record.living:
                return record
        return None

    def _probe_indirectly(self, seq: int) -> None:
        """Timer: no answer within the ack timeout. Pings again and asks helpers to probe the member."""
        probe = self.probes.get(seq)
        if probe is None:
            return
        record = self.records.get(probe.name)
        self._send(probe.address, Ping(seq, probe.name), record)  # a single datagram may have been lost
        helpers = [name for name in self._sample(2 * self.parameters.indirect_probes + 1) if name != probe.name]
        # suspects last: a missing Nack of theirs would count as a problem of this process
        helpers.sort(key=lambda name: name in self.suspects)
        for name in helpers[:self.parameters.indirect_probes]:
            probe.helpers_asked += 1
            self._send(self.records[name].address, PingRequest(seq, probe.name, probe.address))

    def _sample(self, count: int) -> list[str]:
        """Returns the names of up to `count` random live members."""
        return self.rng.sample(self.living, min(count, len(self.living)))

    def _probe_failed(self, seq: int) -> None:
        """Timer: the probe period is over without an answer. Suspects the member, or confirms its suspicion."""
        probe = self.probes.pop(seq, None)
        if probe is None:
            return
        self.counts["probes_failed"] += 1
        # if helpers do not even send a Nack, the problem may be on the side of this process
        self.local_health.adjust(probe.helpers_asked - probe.nacks if probe.helpers_asked else 1)
        record = self.records.get(probe.name)
        if record is None or record.process != probe.process or not record.living:
            return
        if self.now < self.mute_until:
            self.counts["muted"] += 1
            return
        if record.belief == Belief.SUSPECT:
            self._confirm_suspicion(record, self.me.name)
        else:
            self._apply_record(msgspec.structs.replace(record, belief=Belief.SUSPECT), self.me.name)

    def _handle_ack(self, message: Ack) -> None:
        """Ends the probe that the Ack answers, and relays it if the probe was made for another member."""
        probe = self.probes.get(message.seq)
        if probe is not None and probe.name == message.name:
            del self.probes[message.seq]
            self.local_health.adjust(-1)
            if self.unconfirmed is not None:
                # the pause cleared all probes: only answers to later ones count, not those queued in the socket
                self.unconfirmed.discard(message.name)
                if 2 * len(self.unconfirmed) <= len(self.living):
                    self._mark_fresh()
        relay = self.relays.pop(message.seq, None)
        if relay is not None:
            self._send(relay[0], Ack(relay[1], message.name))

    def _handle_ping_request(self, message: PingRequest, sender: Record) -> None:
        """Probes a member for another one and remembers to relay the answer."""
        self.seq += 1
        self.relays[self.seq] = sender.address, message.seq
        self._send(message.address, Ping(self.seq, message.name), self.records.get(message.name))
        self._schedule(self.now + self.parameters.ack_timeout, self._relay_expired, self.seq)

    def _relay_expired(self, seq: int) -> None:
        """Timer: the member that was probed for a requester did not answer in time."""
        relay = self.relays.pop(seq, None)
        if relay is not None:
            self._send(relay[0], Nack(relay[1]))

    def _check_stall(self, now: int) -> None:
        """Detects a pause of this process and discards the state that is unreliable after it.

        Unanswered probes may be due to the pause itself, and the view is out of date. This process suspects nobody
        until the other members have had time to answer.
        """
        pause = self.stall_detector.on_timer(now, max(0, self.next_at - now))
        self.now = max(self.now, now)
        if not pause:
            return
        self.counts["slept"] += 1
        self.local_health.adjust(1)
        self.probes.clear()
        self.relays.clear()
        period = self.parameters.probe_period
        self.mute_until = max(self.mute_until, now + 2 * period + min(pause, 4 * period))
        if pause >= period:
            self._record_event("slept", self.me.name, f"{pause // 1000} ms")
            self.unconfirmed = set(self.living)
            self.view_changed = True
            if self.living and pause >= 4 * period and now - self.last_sync_at >= self.parameters.min_sync_interval:
                self._start_sync(self.records[self.rng.choice(self.living)].address)
