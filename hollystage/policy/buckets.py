"""Constants of the scheduling policy, decaying sums, and the nested token buckets of a client.

Times are microseconds unless a comment says otherwise. The terms rho, sigma, delta, finish tag and class
level are those of the paper that describes the cascade of token buckets (see docs/design.md).
"""
from __future__ import annotations

from math import exp

from ..interface import Method, Outcome, Rpc, Tenant

TICK = 50_000  # period of tick(); an RPC that falls due before the next tick is answered at this one
# decay spans: of arrival rates and costs; of unread times and rejections
DECAY_SPAN, RECENT_SPAN = 4_000_000, 1_000_000
BUCKETS, MIN_TOKENS = 2, 4.0  # nested buckets of a client; minimum capacity of one, tokens
# rate of a bucket over that of the next inner one; delta of the tail class over that of the outermost bucket
RATE_GROWTH, TAIL_DELTA_FACTOR = 1.25, 1.5
# completions a second and core that are assumed before any is measured; weight of one such run in later means
INITIAL_RATE, PRIOR_WEIGHT = 20.0, 0.3
# CPU gauge: rejection of the outermost class begins at the first and ends below the second
HIGH_CPU, LOW_CPU = 0.95, 0.85
# shares that may be used: of the number of started RPCs at which throughput collapses; of the memory, by RPCs
# and idempotency keys
CONCURRENCY_HEADROOM, MEMORY_HEADROOM = 0.8, 0.85
# a call is slow at this multiple of the usual time; a tick this late means that the process was suspended
SLOW_CALL_FACTOR, STALL_THRESHOLD = 3.0, 30_000
# share of slow or lost replies up to which the dependency counts as healthy; multiple of the usual time after
# which a call that may be repeated counts as lost
MAX_ODD_SHARE, LOST_CALL_FACTOR = 0.4, 30.0
# multiple of the usual cost that must fit before the target while many RPCs are rejected; multiple of the
# highest usual cost that the cores may go without progress before they count as hung
STRICT_COST_FACTOR, HANG_FACTOR = 1.3, 4.0
# reading is expensive where RPCs lie unread for this share of a target, or where it uses this share of cores
MAX_UNREAD_SHARE, READING_CORE_SHARE = 0.05, 0.15
# share of the read RPCs that is rejected: above the first a retry elsewhere has little chance, above the
# second callers send far more than the instance can take
HIGH_REJECT_SHARE, FLOOD_REJECT_SHARE = 0.25, 0.7
# histogram of caller timeouts: bins over a method's deadline; share that a bin and the next one must hold to
# count as a timeout of first attempts; factor by which counts decay at each first attempt
TIMEOUT_BINS, COMMON_BIN_SHARE, HISTOGRAM_DECAY = 50, 0.125, 0.998

# events that resume the lifecycle of an RPC, beside the outcomes of runs and calls
START, DROP, OVERDUE, GONE, AT_CALL, GO, SKIP = "start drop overdue gone at_call go skip".split()
# outcomes that prove that a call was not executed; outcomes after which it may have been
NOT_EXECUTED, REPLY_LOST = (Outcome.FULL, Outcome.CONNECT_FAILED), (Outcome.TIMEOUT, Outcome.RESET)
# states of an RPC; the strings appear in logs
QUEUED, RUNNING, CALLING, WAITING, JOINED, DONE = "held running calling waiting joined over".split()

RpcQueue = list[tuple[int, int, Rpc]]  # a heap of (time or finish tag, sequence number, RPC)


class DecayingSum:
    """A sum and a count that decay exponentially with the time constant `span`, updated lazily on access."""

    def __init__(self, now: int, span: int = DECAY_SPAN) -> None:
        self.sum, self.count, self.at, self.span = 0.0, 0.0, now, span

    def read(self, now: int) -> float:
        """The decayed sum."""
        if now > self.at:
            kept = exp((self.at - now) / self.span)
            self.sum, self.count, self.at = self.sum * kept, self.count * kept, now
        return self.sum

    def add(self, amount: float, now: int, count: float = 1) -> None:
        """Adds `amount` to the sum and `count` to the count."""
        self.sum, self.count = self.read(now) + amount, self.count + count

    def mean(self, now: int, prior: float = 0.0, weight: float = 1e-9) -> float:
        """The mean, with `prior` mixed in at the weight of `weight` samples."""
        return (self.read(now) + prior * weight) / (self.count + weight)


class Client:
    """Nested token buckets of one client: a method, for one tenant if tenants are configured.

    `rho` is the client's rate in RPCs a second; bucket j has the rate rho * RATE_GROWTH ** j. The deltas are
    the delay bounds of the class levels: from the latency target to the deadline, then a longer one.
    """

    def __init__(self, tenant: Tenant | None, method: Method, rho: float, now: int) -> None:
        self.tenant, self.method, self.rho, self.at = tenant, method, rho, now
        self.arrivals = DecayingSum(now)
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
            refilled = self.tokens[j] + self.rho * RATE_GROWTH ** j * (now - self.at) / 1e6
            self.tokens[j] = min(self.sigma(j), refilled)
            if level == j + 1 and self.tokens[j] >= 1:
                level = j
        self.at = now
        for j in range(level, BUCKETS):
            self.tokens[j] -= 1
        return level + 1
