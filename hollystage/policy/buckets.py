"""The figures that the mechanism goes by, sums that forget, and a client's nested token buckets."""
from __future__ import annotations

from math import exp

from ..interface import Method, Outcome, Rpc, Tenant

TICK = 50_000  # spacing of the one timer; due answers leave up to one tick early
SPAN, RECENT = 4_000_000, 1_000_000  # of arrivals and costs; of unread times and pushbacks
BUCKETS, FEWEST = 2, 4.0  # n of the cascade; tokens that a bucket holds at least
WIDER, TAIL = 1.25, 1.5  # an outer bucket's rate over the next inner; the tail's delta over the outermost
GENEROUS, FORGET = 20.0, 0.3  # RPCs a second and core while nothing is measured; weight of such a run later
HIGH, LOW = 0.95, 0.85  # marks of the core gauge for pushbacks of the outermost class
HEADROOM, FULL = 0.8, 0.85  # shares: of the deadly crowd that may run, of memory for what is held and keys
SLOW, LATE = 3.0, 30_000  # a call so many times slower is one; a timer so late means that we were stalled
ODD, SILENT = 0.4, 30.0  # share of slow or lost replies that is no trouble below; usual calls waited for one
CHOOSY, HANG = 1.3, 4.0  # usual costs that must fit before the target where much bounces; that mean a hang
UNREAD, BLIND = 0.05, 0.15  # reading costs: share of a target that RPCs lie unread, of the cores it takes
BOUNCED, FLOOD = 0.25, 0.7  # shares of what is read pushed back: little use elsewhere; callers flood the box
BINS, COMMON, STAY = 50, 0.125, 0.998  # steps of patiences; share that tells a first try's; share kept a try

START, DROP, OVERDUE, GONE, AT_CALL, GO, SKIP = "start drop overdue gone at_call go skip".split()
UNSEEN, LOST = (Outcome.FULL, Outcome.CONNECT_FAILED), (Outcome.TIMEOUT, Outcome.RESET)
HELD, RUNNING, CALLING, WAITING, JOINED, OVER = "held running calling waiting joined over".split()

Line = list[tuple[int, int, Rpc]]  # a heap by time


class Decaying:
    """A sum and a count that forget over `span`, brought up to date when they are read."""

    def __init__(self, now: int, span: int = SPAN) -> None:
        self.sum, self.count, self.at, self.span = 0.0, 0.0, now, span

    def read(self, now: int) -> float:
        if now > self.at:
            left = exp((self.at - now) / self.span)
            self.sum, self.count, self.at = self.sum * left, self.count * left, now
        return self.sum

    def add(self, amount: float, now: int, count: float = 1) -> None:
        self.sum, self.count = self.read(now) + amount, self.count + count

    def mean(self, now: int, prior: float = 0.0, weight: float = 1e-9) -> float:
        return (self.read(now) + prior * weight) / (self.count + weight)


class Client:
    """One client's nested token buckets; a client is a method, of one tenant where tenants are told."""

    def __init__(self, tenant: Tenant | None, method: Method, rho: float, now: int) -> None:
        self.tenant, self.method, self.rho, self.at = tenant, method, rho, now
        self.arrivals = Decaying(now)
        first, last = method.latency_target, max(method.deadline, method.latency_target)
        self.deltas = [first + (last - first) * j // (BUCKETS - 1) for j in range(BUCKETS)]
        self.deltas.append(int(last * TAIL))
        self.tokens = [self.sigma(j) for j in range(BUCKETS)]

    def sigma(self, j: int) -> float:
        return max(FEWEST, self.rho * WIDER ** j * self.deltas[j] / 1e6)

    def classify(self, now: int) -> int:
        """The latency class from 1 to BUCKETS + 1, the tail; takes a token from its bucket and outer ones."""
        level = BUCKETS
        for j in reversed(range(BUCKETS)):
            grown = self.tokens[j] + self.rho * WIDER ** j * (now - self.at) / 1e6
            self.tokens[j] = min(self.sigma(j), grown)
            if level == j + 1 and self.tokens[j] >= 1:
                level = j
        self.at = now
        for j in range(level, BUCKETS):
            self.tokens[j] -= 1
        return level + 1
