"""Timing and limits of the membership protocol."""
from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Parameters:
    """The parameters of the protocol; times are in microseconds."""

    probe_period: int = 500_000  # between probes; each probes one member
    ack_timeout: int = 150_000  # for a direct probe, before helpers are asked
    indirect_probes: int = 3  # helpers that are asked for an indirect probe
    suspicion_factor: float = 4.0  # minimum suspicion timeout in probe periods, for up to ten members
    max_suspicion_ratio: float = 3.0  # maximum suspicion timeout divided by the minimum
    confirmations: int = 3  # number of confirmations that shorten a suspicion timeout to its minimum
    retransmit_factor: int = 3  # an update is sent this often, times the binary logarithm of the number of members
    max_health_score: int = 8  # upper bound of the local health score; 0 is healthy
    lost_probe_period: int = 4_000_000  # mean time between probes of lost members or configured addresses
    sync_period: int = 30_000_000  # mean time between full syncs; 0.1 s per member if that is longer
    min_sync_interval: int = 1_000_000  # minimum time between full syncs other than the periodic ones
    tombstone_lifetime: int = 1_800_000_000  # until a lost or departed member is removed
    max_members: int = 10_000  # bound on the members of a view
    # members that may start at once; their first syncs are spread over time at the rate FLEET_RATES["exchange"]
    expected_members: int = 0
