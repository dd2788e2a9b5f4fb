"""The request path: admission, choice, attempt, answer."""
