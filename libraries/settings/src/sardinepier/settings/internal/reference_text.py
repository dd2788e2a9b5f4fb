"""The prose around the tables of the reference for operators."""

from typing import Final

INTRODUCTION: Final = """\
# Settings files

This page is made from the checks that the programs run. Write it anew with
`python -m sardinepier.settings.reference > docs/settings.md`.

Operators publish one file `fleet` and one file `service/<name>` for each
service. Each daemon also has a small file of its own on its command line. A
file is taken whole or not at all. `sardinepier check FILE...` reports every
mistake of a file at once, each with its section, its key and what to write.

- A line is a `[section]`, a `key = value`, or a comment that starts with `#`
  or `;`. A comment behind a value is part of the value.
- Only `=` separates a key from its value. Keys and titles are case-sensitive.
- A value goes on in the next line when that line is indented.
- A file has at most 1,048,576 characters and 10,000 lines, and the first 200
  mistakes are listed.
- Unknown sections and keys, and repeated ones, are mistakes.
- The suffix of a key is its unit: `_ms`, `_s`, `_bytes`, `_percent`,
  `_per_s`.\
"""

RULES: Final = """
## Rules between keys

- `shutdown_grace_s` is at least `addresses_valid_s`: a daemon that stops
  serves until the addresses it gave out have run out.
- `ticket_epoch_s` times `ticket_valid_epochs` is at least
  `addresses_valid_s`: a ticket lasts as long as the address it came with.
- `suspicion_timeout_ms` is more than `heartbeat_interval_ms`.
- The `name` in a file `service/<name>` is the name of the file. No service is
  called `v1`, because `/v1/` begins the paths of the daemon itself.
- No two targets of a service have the same `ip` and `port`.
- A target's `zone` is one that the fleet file names. A daemon's `zone` and
  `region` agree with the fleet file.
- A route that is not idempotent is not hedged.
- `http_port` and `peer_port` differ.

## Paths of routes

A path has at most 16 segments. `{name}` stands for one whole segment, which
is not empty. Where a literal segment and a `{name}` both fit, the literal one
goes first: `/theses/new` beside `/theses/{id}` is fine.

Two routes with one method must not have the same path but for the names in
braces. Nor may a request fit two of them with neither being narrower, as
`/a/b` fits `/a/{x}` and `/{y}/b`.

Segments of a request are percent-decoded before they are compared. A request
whose path holds `.` or `..` as a segment, an encoded slash or a backslash
takes no route: targets read such paths in different ways, and one that took a
route for idempotent requests could reach work that must not run twice. For
the same reason, give a target that treats several spellings of a path alike,
such as upper and lower case or a slash at the end, a route for each spelling
with the same `idempotent`.
"""
