"""Processor sharing in virtual time: the model of an instance's cores and of a ledger's slots.

All jobs are served at the same rate, so one number, the attained service, describes their progress. A job completes
when the attained service reaches its value at the job's start plus the job's work. A change costs one heap operation,
whatever the number of jobs.
"""
from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

NEVER = 1 << 62


class ProcessorSharing:
    """A server that serves up to `slots` jobs at full speed and shares its capacity evenly among more.

    Each job above `slots` reduces the speed of all by a further term, `overload_penalty`.
    """

    def __init__(self, slots: int, overload_penalty: float = 0.0) -> None:
        self.slots, self.overload_penalty = slots, overload_penalty
        self.slowdown = 1.0  # factor by which every job takes longer
        self.updated_at, self.attained_service = 0, 0.0
        self.heap: list[tuple[float, int]] = []
        self.completion_points: dict[int, float] = {}  # attained service at which each job completes

    def __len__(self) -> int:
        return len(self.completion_points)

    def rate(self) -> float:
        """Returns the speed at which each job is served, 1 for full speed."""
        count = len(self.completion_points)
        if count <= self.slots:
            return 1 / self.slowdown
        return self.slots / count / (1 + self.overload_penalty * (count - self.slots)) / self.slowdown

    def advance(self, now: int) -> None:
        """Adds the service since the last call."""
        if now > self.updated_at:
            self.attained_service += (now - self.updated_at) * self.rate()
            self.updated_at = now

    def add(self, job: int, work: float, now: int) -> None:
        """Starts a job that takes `work` microseconds at full speed."""
        self.advance(now)
        self.completion_points[job] = self.attained_service + work
        heappush(self.heap, (self.attained_service + work, job))

    def remove(self, job: int, now: int) -> bool:
        """Removes a job; returns whether it was in service."""
        self.advance(now)
        return self.completion_points.pop(job, None) is not None

    def set_slowdown(self, factor: float, now: int) -> None:
        """Sets the factor by which all jobs take longer from now on."""
        self.advance(now)
        self.slowdown = factor

    def next_completion(self) -> int:
        """Returns the time at which the next job completes if nothing changes; `NEVER` without jobs."""
        while self.heap and self.completion_points.get(self.heap[0][1]) != self.heap[0][0]:
            heappop(self.heap)
        if not self.heap:
            return NEVER
        return self.updated_at + max(0, int((self.heap[0][0] - self.attained_service) / self.rate()) + 1)

    def take_completed(self, now: int) -> list[int]:
        """Removes and returns the jobs that have completed."""
        self.advance(now)
        completed: list[int] = []
        while self.heap and self.heap[0][0] <= self.attained_service:
            end, job = heappop(self.heap)
            if self.completion_points.get(job) == end:
                del self.completion_points[job]
                completed.append(job)
        return completed


class VirtualClock:
    """Clock and event queue of a discrete-event simulation."""

    def __init__(self, now: int = 0) -> None:
        self.now, self.event_count = now, 0
        self.heap: list[tuple[int, int, Callable[[], None]]] = []

    def call_at(self, time: int, function: Callable[[], None]) -> None:
        """Calls a function at a time; functions of the same time are called in the order of registration."""
        self.event_count += 1
        heappush(self.heap, (max(time, self.now), self.event_count, function))

    def run(self, until: int) -> None:
        """Advances the clock and calls everything that is due on the way."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, function = heappop(self.heap)
            function()
        self.now = until
