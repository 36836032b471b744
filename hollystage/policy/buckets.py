"""Constants of the scheduling policy, decaying sums, and the nested token buckets of a client.

Times are in microseconds unless a comment says otherwise. The terms rho, sigma, delta, finish tag and class
level are those of the paper that describes the cascade of token buckets; see docs/design.md.
"""
from __future__ import annotations

from math import exp

from ..interface import Method, Outcome, Rpc, Tenant

TICK = 50_000  # period of tick(); overdue RPCs are answered up to one tick early
DECAY_SPAN = 4_000_000  # time constant of sums over arrivals and costs
RECENT_SPAN = 1_000_000  # time constant of sums over unread times and rejections
BUCKETS = 2  # nested buckets of a client
MIN_TOKENS = 4.0  # minimum capacity of a bucket
RATE_GROWTH = 1.25  # rate of a bucket as a multiple of that of the next inner one
TAIL_DELTA_FACTOR = 1.5  # delta of the tail class as a multiple of that of the outermost bucket
INITIAL_RATE = 20.0  # completions a second and core that are assumed before any is measured
PRIOR_WEIGHT = 0.3  # weight of one such assumed run in later means
# CPU gauge: rejection of the outermost class begins at the first value and ends below the second
HIGH_CPU = 0.95
LOW_CPU = 0.85
CONCURRENCY_HEADROOM = 0.8  # share that may be used of the started RPCs at which throughput collapses
MEMORY_HEADROOM = 0.85  # share of the memory up to which RPCs are admitted
SLOW_CALL_FACTOR = 3.0  # a call that takes this multiple of the usual time is slow
STALL_THRESHOLD = 30_000  # a tick this late means that the process was suspended
MAX_SLOW_OR_LOST_SHARE = 0.4  # share of slow or lost replies up to which the dependency counts as healthy
LOST_CALL_FACTOR = 30.0  # multiple of the usual time after which a call that may be repeated counts as lost
# multiple of the usual cost that must fit before the target while many RPCs are rejected
STRICT_COST_FACTOR = 1.3
# multiple of the highest usual cost that the cores may go without progress before they count as hung
HANG_FACTOR = 4.0
# reading is expensive where RPCs lie unread for this share of a target, or where it uses this share of cores
MAX_UNREAD_SHARE = 0.05
READING_CORE_SHARE = 0.15
# shares of the read RPCs that are rejected: above the first one a retry elsewhere has little chance, above
# the second one callers send far more than the instance can take
HIGH_REJECT_SHARE = 0.25
FLOOD_REJECT_SHARE = 0.7
TIMEOUT_BINS = 50  # bins of the histogram of caller timeouts, over a method's deadline
# share that a bin and the next one must hold to count as a timeout of first attempts
COMMON_BIN_SHARE = 0.125
HISTOGRAM_DECAY = 0.998  # factor by which the counts decay at each first attempt

# events that resume the lifecycle of an RPC, besides the outcomes of runs and calls
START, DROP, OVERDUE, GONE, AT_CALL, GO, SKIP = "start drop overdue gone at_call go skip".split()
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED)  # the call was certainly not executed
REPLY_LOST = (Outcome.TIMEOUT, Outcome.RESET)  # the call may have been executed
# states of an RPC; the strings appear in logs
QUEUED, RUNNING, CALLING, WAITING, JOINED, DONE = "held running calling waiting joined over".split()

QueueEntry = tuple[int, int, Rpc]  # time or finish tag, sequence number, RPC
RpcQueue = list[QueueEntry]  # a heap


class DecayingSum:
    """A sum and a count that decay exponentially with the time constant `span`, updated lazily on access."""

    def __init__(self, now: int, span: int = DECAY_SPAN) -> None:
        self.sum, self.count, self.updated_at, self.span = 0.0, 0.0, now, span

    def read(self, now: int) -> float:
        """The decayed sum."""
        if now > self.updated_at:
            factor = exp((self.updated_at - now) / self.span)
            self.sum, self.count, self.updated_at = self.sum * factor, self.count * factor, now
        return self.sum

    def add(self, amount: float, now: int, count: float = 1) -> None:
        """Adds `amount` to the sum and `count` to the count."""
        self.sum, self.count = self.read(now) + amount, self.count + count

    def mean(self, now: int, prior: float = 0.0, weight: float = 1e-9) -> float:
        """The mean of the samples and of `prior`, which counts as `weight` samples."""
        return (self.read(now) + prior * weight) / (self.count + weight)


class Client:
    """Nested token buckets of one client: a method, for one tenant if tenants are configured.

    `rho` is the client's rate in RPCs a second; bucket j has the rate rho * RATE_GROWTH ** j. The deltas are
    the delay bounds of the class levels: from the latency target to the deadline, then a longer one.
    """

    def __init__(self, tenant: Tenant | None, method: Method, rho: float, now: int) -> None:
        self.tenant, self.method, self.rho, self.updated_at = tenant, method, rho, now
        self.arrivals = DecayingSum(now)
        self.quota_value = 1.0  # mean value of its RPCs relative to one within the tenant's quota
        first, last = method.latency_target, max(method.deadline, method.latency_target)
        self.deltas = [first + (last - first) * j // (BUCKETS - 1) for j in range(BUCKETS)]
        self.deltas.append(int(last * TAIL_DELTA_FACTOR))
        self.tokens = [self.sigma(j) for j in range(BUCKETS)]

    def sigma(self, j: int) -> float:
        """Capacity of bucket j, tokens."""
        return max(MIN_TOKENS, self.rho * RATE_GROWTH ** j * self.deltas[j] / 1e6)

    def classify(self, now: int) -> int:
        """Class level of an arriving RPC: the innermost bucket with a token, BUCKETS + 1 for the tail.

        Takes a token from that bucket and from all outer ones.
        """
        level = BUCKETS
        for j in reversed(range(BUCKETS)):
            refilled = self.tokens[j] + self.rho * RATE_GROWTH ** j * (now - self.updated_at) / 1e6
            self.tokens[j] = min(self.sigma(j), refilled)
            if level == j + 1 and self.tokens[j] >= 1:
                level = j
        self.updated_at = now
        for j in range(level, BUCKETS):
            self.tokens[j] -= 1
        return level + 1
