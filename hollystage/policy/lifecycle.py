"""Lifecycle of one RPC: a generator that yields actions and is resumed with events and outcomes."""
from __future__ import annotations

from collections.abc import Generator
from typing import Any

from ..interface import Action, ActionKind, Halt, MethodKind, Outcome, Rpc
from .buckets import *
from .estimates import Estimates


class Lifecycle(Estimates):
    """Carries each RPC from its arrival to its end."""

    def _run(self, rpc: Rpc) -> Generator[Action | None, Any, None]:
        """Yields the actions for the RPC, and None to wait; `_resume` sends in events and outcomes."""
        method = rpc.method
        keyed = method.kind is MethodKind.KEYED
        if rpc.earlier is not None and rpc.earlier.ran:
            self._set_state(rpc, JOINED)
            event = yield Action(ActionKind.JOIN, rpc)
            if event in (OVERDUE, DROP):
                yield Action(ActionKind.ABORT, rpc)
            return
        reason = self._reject_reason(rpc)
        if reason:
            self.rejections.add(1, self.now, 0)
            last = reason == "late" or not self._within_quota(rpc) and self._peers_likely_overloaded()
            self.redirects.add(not last, self.now, 0)
            yield self._reject(rpc, last=last)
            return
        if rpc.earlier is not None and rpc.earlier.state == QUEUED and keyed:
            # the newer attempt replaces the queued one, which the caller has most likely given up
            rpc.tag = min(rpc.tag, rpc.earlier.tag)
            self.live_keys.discard(rpc.earlier)
            self._resume(rpc.earlier, DROP)
        if keyed:
            self._remember_key(rpc)
            yield Action(ActionKind.KEEP, rpc, method.window)
        self._set_state(rpc, QUEUED)
        self._enqueue(self.run_queues, rpc)
        event = yield None
        if event is not START:
            if keyed and rpc in self.live_keys and event is not GONE:
                self.live_keys.discard(rpc)
                yield Action(ActionKind.FORGET, rpc)
            if event is not GONE:
                yield self._reject(rpc, last=True)
            return
        rpc.ran = True
        self._set_state(rpc, RUNNING)
        event = yield Action(ActionKind.START, rpc)
        while not isinstance(event, Outcome):
            if event is AT_CALL and not rpc.answered:
                event = yield from self._make_calls(rpc)
                continue
            # a started RPC is rejected only if it may run again, else aborted; its run is halted unless a
            # repeat may join it
            if not rpc.answered and event is not GONE:
                may_repeat = event is DROP and method.kind is MethodKind.IDEMPOTENT
                self.actions.append(
                    self._reject(rpc, last=False) if may_repeat else Action(ActionKind.ABORT, rpc))
            rpc.answered = True
            may_halt = self.settings.halt is not Halt.NONE and not keyed and event is not DROP
            event = yield Action(ActionKind.HALT, rpc) if may_halt else None

    def _make_calls(self, rpc: Rpc) -> Generator[Action | None, Any, Any]:
        """Makes the attempts of one downstream call; returns the event that continues or ends the run."""
        method, idempotent, may_call = rpc.method, rpc.method.kind is MethodKind.IDEMPOTENT, True
        while True:
            event: Any = SKIP
            saturated = self.state_counts[WAITING] >= self.settings.cores or (
                self.pools is not None and self.pools.calls_starve_runs(rpc))
            if may_call and not (method.skip_share > 0 and saturated):
                self._set_state(rpc, WAITING)
                self._enqueue(self.call_queues, rpc)
                event = yield None
            if event is SKIP:
                self._set_state(rpc, RUNNING)
                rpc.answered = not method.skip_share
                return (yield Action(ActionKind.ABORT if rpc.answered else ActionKind.SKIP, rpc))
            if event is not GO:
                return event
            self._set_state(rpc, CALLING)
            rpc.calls_made += 1
            # a call that is unlikely to end before the target may take until the due time: a shorter timeout
            # would only waste the work
            half_work = int(self._expected_work(rpc) / 2)
            fits_target = rpc.target - self.now - half_work > SLOW_CALL_FACTOR * self.typical_call
            timeout = (rpc.target if fits_target else rpc.due) - self.now - half_work
            loss_timeout = (int(LOST_CALL_FACTOR * self.typical_call)
                            if idempotent and self._few_slow_or_lost_replies() else 0)
            event = yield Action(ActionKind.CALL, rpc, max(
                TICK, min(timeout, loss_timeout or timeout, self.pacer.max_call_duration)))
            if event is Outcome.OK:
                self._set_state(rpc, RUNNING)
                return (yield None)
            if not isinstance(event, Outcome) or event in (Outcome.CANCELLED, Outcome.MOOT):
                return event
            # a call is retried only if it provably did not run or may run again
            lost = event in REPLY_LOST and self._few_slow_or_lost_replies() and self._time_for_call(rpc) > 0
            may_call = idempotent and lost if method.skip_share > 0 else idempotent or event in NOT_EXECUTED

    def _reject(self, rpc: Rpc, last: bool) -> Action:
        """Answers the RPC as rejected; `last` advises the caller not to retry elsewhere."""
        rpc.answered = True
        if not rpc.is_retry:
            self.reject_ages[rpc.method].add(self.now - rpc.target + rpc.method.latency_target, self.now)
        # advises a retry at the time by which the next run has likely ended
        retry_after = (self.settings.max_retry_after if self.cores_hung or self.stop_at
                       else self._usual_cost(rpc.method) / self._effective_run_limit())
        if self.calendar is not None and rpc.promised:
            self.calendar.on_promise_broken()
        if self.calendar is not None and last and not self.cores_hung and not self.stop_at:
            latest = int(min(rpc.target, rpc.due) - 2 * self._expected_work(rpc))
            retry_after = self.calendar.promise(
                rpc.caller, self.method_numbers[rpc.method], self.now, latest) or 1e9
        return Action(ActionKind.REJECT, rpc, int(min(retry_after, self.settings.max_retry_after)), last)
