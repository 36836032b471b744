"""Downstream calls: concurrency limits, pacing, the pools that share the slots, and retry budgets."""
