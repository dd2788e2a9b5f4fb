"""Choice of target, limits, admission, retry budget and hedging."""
