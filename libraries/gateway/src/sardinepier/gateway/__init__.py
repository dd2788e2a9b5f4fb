"""The request path: admission, target selection, attempt and answer."""
