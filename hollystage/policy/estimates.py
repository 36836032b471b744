"""Estimates of costs, waiting times and capacity, and the admission decision that uses them."""
from __future__ import annotations

from heapq import heappop

from ..interface import Method, MethodKind, Rpc
from .buckets import *
from .queues import Queues

IN_QUOTA_COST_FACTOR = 0.75  # replaces STRICT_COST_FACTOR for RPCs within their tenant's quota
# share of the read RPCs that were rejected elsewhere before; above it peers count as overloaded
PEER_OVERLOAD_RETRY_SHARE = 0.1


class Estimates(Queues):
    """Estimates from measurements; costs and waiting times are in microseconds."""

    def _time_for_call(self, rpc: Rpc) -> float:
        """Time left for one more call: up to the target, less half of the run and one usual call."""
        return min(rpc.target, rpc.due) - self.now - self._expected_work(rpc) / 2 - self.typical_call

    def _few_slow_or_lost_replies(self) -> bool:
        """Whether few replies are slow or lost.

        A few must neither lower the call limit nor fail waiting RPCs: only many show a faulty dependency.
        """
        return self.slow_or_lost_replies.mean(self.now, weight=3) <= MAX_SLOW_OR_LOST_SHARE

    def _reject_reason(self, rpc: Rpc) -> str:
        """Reason why an arriving RPC is rejected; empty if it is admitted."""
        if self.stop_at and self.now - rpc.unread_time >= self.grace_ends_at - TICK or self.cores_hung:
            return "unavailable"
        key = self.settings.key_size if rpc.method.kind is MethodKind.KEYED else 0
        reserved = (self.pools.reserved_memory(self.method_numbers[rpc.method])
                    if self.pools is not None else 0.0)
        if self._memory_used() + rpc.size + key > (MEMORY_HEADROOM - reserved) * self.settings.memory:
            return "memory"
        idle = self._has_idle_cores() and not self.state_counts[QUEUED] or self._has_own_slot(rpc)
        # with idle cores an RPC runs whatever its usual cost: a cost measured on cold, slow or overloaded
        # cores would reject all RPCs of the method and never be corrected. This wastes one run at a time
        if self.now >= min(rpc.target, rpc.due) or not idle and self._misses_target(rpc):
            return "late"
        if self.under_pressure and rpc.level >= BUCKETS and not rpc.promised and not (
                self.pools is not None
                and self.pools.below_guarantee(rpc, self._effective_run_limit(), self.now)):
            return "pressure"
        return "slow" if not idle and not rpc.promised and (
            self._misses_target(rpc, self._expected_wait(rpc))) else ""

    def _has_own_slot(self, rpc: Rpc) -> bool:
        """Whether its pool's guarantee or the reserve has a free slot for it, whatever other pools use."""
        if self.pools is None:
            return False
        taken, heads = self.state_counts[RUNNING], [self._head(queue, QUEUED) for queue in self.run_queues]
        return self.pools.has_own_slot(
            rpc, self.method_numbers[rpc.method], self._effective_run_limit(), taken, heads, self.now)

    def _rejects_more_than(self, share: float) -> bool:
        """Whether more than `share` of the recently read RPCs were rejected."""
        return self.rejections.mean(self.now) > share

    def _peers_likely_overloaded(self) -> bool:
        """Whether other servers are likely overloaded too.

        They are if many RPCs are rejected here, some of the read ones were rejected elsewhere before, and
        peers do not report spare capacity.

        If the whole fleet is overloaded, callers must not retry elsewhere, or the servers read the same RPCs
        again and again. If this server alone is overloaded (popular subjects, a slow core), they should. If
        callers neither mark retries nor send their timeout, the two cases look alike: then only a part of the
        read RPCs is sent elsewhere, too few to flood overloaded peers, enough to relieve a single server.
        """
        peers_overloaded = (self.likely_retries.mean(self.now) > PEER_OVERLOAD_RETRY_SHARE
                            or self.redirects.mean(self.now) > HIGH_REJECT_SHARE)
        return self._rejects_more_than(HIGH_REJECT_SHARE) and peers_overloaded and not self.capacity_elsewhere

    def _within_quota(self, rpc: Rpc) -> bool:
        """Whether the RPC is most likely within its tenant's quota and so has its full value.

        Tenants within their quotas must not be rejected like one that sends far beyond its own. Harmful if
        the quotas together exceed the capacity.
        """
        return rpc.tenant is not None and rpc.level == 1

    def _reading_lags(self) -> bool:
        """Whether RPCs lie unread for a noticeable share of the shortest target."""
        return self.unread_times.mean(self.now) > MAX_UNREAD_SHARE * self.min_target

    def _effective_run_limit(self) -> float:
        """The run limit less the cores that other threads use, at least the number of cores."""
        # reading and runs together must not overload the cores; harmful where the cores could take both
        return max(self.run_limit - self.other_runnable, float(self.settings.cores))

    def _has_idle_cores(self) -> bool:
        """Whether the run limit and the CPU both have capacity left."""
        return self.state_counts[RUNNING] + 1 <= self.run_limit and self.cpu_busy < LOW_CPU

    def _age(self, rpc: Rpc) -> int:
        """How long the caller has already waited, microseconds, estimated from the timeout that it sent.

        First attempts have one of a few timeouts, which are learned over all callers, since each caller may
        be seen here only once; retries mostly have all the time that is left.
        """
        # a marked retry was most likely rejected elsewhere, at the same age as first attempts are here
        reject_age = int(self.reject_ages[rpc.method].mean(self.now, weight=1)) if rpc.is_retry else 0
        if not rpc.timeout:  # no timeout sent: that age is the only information
            return reject_age
        timeout, deadline, histogram = (
            rpc.timeout + rpc.unread_time, rpc.method.deadline, self.timeout_histograms[rpc.method])
        index = min(TIMEOUT_BINS, TIMEOUT_BINS * timeout // deadline)
        if not rpc.is_retry:
            histogram[:] = [count * HISTOGRAM_DECAY + (j == index) for j, count in enumerate(histogram)]
        if sum(histogram[index:index + 2]) <= COMMON_BIN_SHARE * sum(histogram):
            return max(0, deadline - timeout)
        return min(max(0, deadline - timeout), reject_age)  # a first attempt, or a retry with its timeout

    def _misses_target(self, rpc: Rpc, wait: float = 0.0) -> bool:
        """Whether the RPC, started after `wait`, would likely end after its target.

        It needs its usual cost and, if its call cannot be skipped, the time that RPCs of its method usually
        wait for calls beyond the usual duration of one call.
        """
        # a run that may just fit is worth starting for a critical method, but wasted on the least critical
        # one while many RPCs are rejected
        factor = self.criticality_factor[rpc.method]
        if self._rejects_more_than(HIGH_REJECT_SHARE):
            factor *= (IN_QUOTA_COST_FACTOR if self._within_quota(rpc)
                       else STRICT_COST_FACTOR if factor >= 1 else 1)
        call_wait = (0 if rpc.method.skip_share
                     else self.off_core_times[rpc.method].mean(self.now, 0, 1) - self.typical_call)
        return self.now + wait + factor * self._expected_work(rpc) + max(0, call_wait) > min(
            rpc.target, rpc.due)

    def _usual_cost(self, method: Method) -> float:
        """Usual time of a run on the cores, including the slowdown by other runs."""
        # a fraction of an assumed cheap run is mixed in: a method that has not run for a while becomes cheap
        # again in this mean, so that it is admitted and measured anew
        return self.run_times[method].mean(self.now, 1e6 / INITIAL_RATE, PRIOR_WEIGHT)

    def _expected_work(self, rpc: Rpc) -> float:
        """Expected time of this RPC on the cores: its hint times the measured ratio, else the usual cost."""
        return (rpc.work_hint * self.work_per_hint.mean(self.now, 1.0, 1e6) if rpc.work_hint
                else self._usual_cost(rpc.method))

    def _expected_wait(self, rpc: Rpc) -> float:
        """Expected time of this RPC in its run queue."""
        number = rpc.pool_ref.find() if rpc.pool_ref is not None else 0
        ahead = [sum(self._expected_work(r) for tag, _, r in queue if tag <= rpc.tag and r.state == QUEUED)
                 for queue in self.run_queues[:len(self.run_queues) - 1 or 1]]
        wait = ahead[0] / self._effective_run_limit() if self.pools is None else self.pools.estimated_wait(
            rpc, ahead[number], sum(ahead), self._effective_run_limit())
        return 1.5 * wait  # half as much again: RPCs with smaller tags will still arrive

    def _max_in_progress(self) -> float:
        """How many RPCs may be in progress: running, waiting for a call or calling."""
        warm = (min(1.0, (self.now - self.started_at) / max(1, self.settings.warm_after))
                if self.settings.cold else 1.0)
        speed = self.settings.cold_from + (1 - self.settings.cold_from) * warm
        return self.settings.cores * max(
            1.0, CONCURRENCY_HEADROOM * (1 + (self.settings.fall_multiple - 1) * speed))

    def _memory_used(self) -> float:
        """Memory in use by RPCs and idempotency keys, kilobytes; forgets keys whose window has ended."""
        while self.key_expiries and self.key_expiries[0][0] < self.now:
            self.live_keys.discard(heappop(self.key_expiries)[2])
        return self.memory + len(self.live_keys) * self.settings.key_size
